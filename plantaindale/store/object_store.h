// object_store is the platform's object API as the project sees it: objects by
// kind and name, each with a revision; writes that name the revision they are
// based on; and watches. Revisions rise over the whole store, so one number
// says how far a reader has seen.
//
// The users' own endpoint takes one implementation of this interface;
// http_object_store.h holds the one for the HTTP form that DESIGN describes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"

namespace plantaindale {

using protocol::object_delta;
using protocol::stored_object;

// Object kinds of the project's own.
inline constexpr std::string_view kNodeKind = "node";
inline constexpr std::string_view kShardPageKind = "shard-page";
inline constexpr std::string_view kConfigurationKind = "configuration";

// A conditional write: it takes effect only while the object's revision is
// `mBaseRevision` (0: only while there is no such object).
struct conditional_write
{
  std::string mKind;
  std::string mName;
  std::int64_t mBaseRevision = 0;
  std::string mBody;
};

// Not thread-safe; calls wait on the calling fiber.
class object_store
{
public:
  virtual ~object_store() = default;

  // Every object, with the revision of the store that the list reflects.
  virtual absl::StatusOr<object_delta> List() = 0;

  // Waits until something is newer than `aAfter`, or for a bounded time, and
  // returns the changes. kOutOfRange: too old a revision; list anew.
  virtual absl::StatusOr<object_delta> Watch(std::int64_t aAfter) = 0;

  virtual absl::StatusOr<stored_object> Get(std::string_view aKind,
                                            std::string_view aName) = 0;

  // The object as written. kAborted: another revision is current, and the
  // write has not taken effect. kUnknown: it may have, or may yet.
  virtual absl::StatusOr<stored_object> Write(
    const conditional_write& aWrite) = 0;
};

} // namespace plantaindale
