// An in-memory object store with revisions and conditional writes: the state of
// the platform stand-in and of cluster_model.
//
//   store objects;
//   auto written = objects.Write({ kind, name, 0, body });
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
  // Bytes.
  static constexpr std::size_t kMaxValueBytes = 1024 * 1024;

  // Fails with Aborted if `mBaseRevision` is not the object's current revision
  // (0 if there is none), and with InvalidArgument if the value is not JSON or
  // too large. A write that changes nothing keeps the revision.
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite);

  // Replaces the object, if there is one, by any value.
  void WriteUnchecked(std::string aKind, std::string aName, std::string aBody);

  // Returns to the state of an earlier copy of this store, in a new era.
  void Restore(const store& aCopy);

  // Null if there is no such object.
  const stored_object* Find(std::string_view aKind,
                            std::string_view aName) const;
  // The current state of every object changed after `aRevision`.
  object_delta ChangesAfter(std::int64_t aRevision) const;
  std::int64_t Revision() const { return mRevision; }

private:
  const stored_object& Store(stored_object& aObject,
                             const conditional_write& aWrite);

  std::map<std::string, stored_object> mObjects;        // by kind/name
  std::map<std::int64_t, std::string> mPathsByRevision; // to kind/name
  std::int64_t mRevision = 1;
};

} // namespace plantaindale::stand_ins
