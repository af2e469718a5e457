// configuration_history holds the latest configuration in its stored form and
// the steps that led to it, so that a node with an earlier version is sent only
// what changed.
//
//   history.Add(number, revision, value);
//   stored_object change = history.ChangeSince(number_of_peer);
//   auto object = history.Apply(change);   // at the peer
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/store/object_store.h"
#include <boost/json/value.hpp>

namespace plantaindale {

// Not thread-safe.
class configuration_history
{
public:
  // One version. Patches are JSON merge patches (RFC 7396).
  struct version
  {
    std::int64_t mNumber = 0; // 0: none
    std::int64_t mRevision = 0;
    boost::json::value mStored;
  };

  // Commands.
  // Adds a version that is newer than Latest().
  void Add(version aVersion);

  // Queries.
  const version& Latest() const { return mLatest; }
  // The latest version in full; there must be one.
  stored_object Whole() const;
  // The latest version for a node that has `aNumber`: the patches since then,
  // with `aNumber` as the patch base, or in full if the history does not have
  // them.
  stored_object ChangeSince(std::int64_t aNumber) const;
  // The versions that the patches of a peer lead to, oldest first.
  // kFailedPrecondition: the patches apply to another version than Latest().
  // kInvalidArgument: they are malformed.
  absl::StatusOr<std::vector<version>> Apply(
    const stored_object& aPatches) const;

private:
  struct step
  {
    std::int64_t mFrom = 0; // number of the version before
    boost::json::value mPatch;
    std::int64_t mRevision = 0; // of the version after
  };

  // The object of the latest version.
  stored_object MakeObject(std::string aBody, std::int64_t aPatchBase) const;

  version mLatest;
  std::deque<step> mSteps; // each starts where the one before ends
};

} // namespace plantaindale
