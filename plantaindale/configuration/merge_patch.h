// JSON merge patches (RFC 7396): how operators state changes, and how nodes
// send each other what changed in a configuration.
//
//   auto patch = MakeMergePatch(before, after);
//   if (patch) { assert(MergePatch(before, *patch) == after); }
#pragma once

#include <optional>

#include <boost/json/value.hpp>

namespace plantaindale {

// Returns `aTarget` with the patch applied.
boost::json::value
MergePatch(boost::json::value aTarget, const boost::json::value& aPatch);

// Returns the patch that turns `aBefore` into `aAfter`; nullopt if there is
// none, since a patch cannot express that a member becomes null.
std::optional<boost::json::value>
MakeMergePatch(const boost::json::value& aBefore,
               const boost::json::value& aAfter);

} // namespace plantaindale
