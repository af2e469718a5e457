// The state of the platform stand-in: objects with revisions, conditional
// writes and the changes after a revision. Kept in memory.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale::stand_ins {

class store
{
public:
  // Largest value the platform takes, in bytes.
  static constexpr std::size_t kMaxValueBytes = 1024 * 1024;

  absl::StatusOr<stored_object> Write(const conditional_write& aWrite);

  const stored_object* Find(std::string_view aKind,
                            std::string_view aName) const;
  // The latest state of every object changed after `aRevision`.
  object_delta ChangesAfter(std::int64_t aRevision) const;
  std::int64_t Revision() const { return mRevision; }

private:
  std::map<std::string, stored_object> mObjects;        // by kind/name
  std::map<std::int64_t, std::string> mPathsByRevision; // to kind/name
  std::int64_t mRevision = 1;
};

} // namespace plantaindale::stand_ins
