// evacuation_list is the set of failure domains whose backend servers must get
// no request, as the store had it at one revision. Lists of different revisions
// are never mixed: the newer one replaces the other, so a removed entry does
// not come back with an older list, and one that returns counts again.
//
//   evacuation_list known;
//   if (known.Take(list_of_peer)) { ... the set has changed ... }
//   if (known.Contains("soum-1")) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Not thread-safe.
class evacuation_list
{
public:
  evacuation_list() = default;
  // `aRevision` is the store's revision at which the list is complete.
  evacuation_list(std::int64_t aRevision, std::vector<std::string> aDomains);

  // Commands.
  // Replaces this list if `aOther` is newer. Returns whether the set of domains
  // has changed.
  bool Take(const evacuation_list& aOther);

  // Queries.
  std::int64_t Revision() const { return mRevision; }
  // False until a list has been taken, even an empty one.
  bool IsKnown() const { return mRevision > 0; }
  const std::vector<std::string>& Domains() const { return mDomains; }
  bool Contains(std::string_view aDomain) const;

private:
  std::int64_t mRevision = 0;
  std::vector<std::string> mDomains; // sorted
};

// The list as one stored object.
stored_object
MakeEvacuationObject(const evacuation_list& aList);

// Returns kInvalidArgument if the body can't be read.
absl::StatusOr<evacuation_list>
ParseEvacuationObject(const stored_object& aObject);

} // namespace plantaindale
