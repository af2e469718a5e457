// object_store is the interface to the platform's object store. Objects are
// identified by kind and name and carry a revision. Writes use optimistic
// concurrency: each names the revision that it is based on. Revisions increase
// over the whole store, so one number tells how far a reader has read.
//
// A store may come back from an older copy, without the latest writes. The
// number of times that this has happened is its era. The upper bits of a
// revision are the era in which the object was written or restored, so
// revisions increase over the eras too: after a restore, all objects have
// higher revisions than before, though their content may be older.
//
// A platform with another API needs one implementation of this interface;
// http_object_store.h is the implementation for HTTP and JSON.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

using protocol::object_delta;
using protocol::stored_object;

// Kinds of the objects that nodes and operators store.
inline constexpr std::string_view kNodeKind = "node";
inline constexpr std::string_view kShardPageKind = "shard-page";
inline constexpr std::string_view kConfigurationKind = "configuration";
// One object, whose revision is that at which its list is complete; see
// evacuation_list.h.
inline constexpr std::string_view kEvacuationKind = "evacuations";
inline constexpr std::string_view kEvacuationName = "current";

// Largest number in a stored object. Those above are not exact in all JSON
// parsers.
inline constexpr std::int64_t kMaxStoredNumber = std::int64_t{ 1 } << 53;

inline constexpr int kEraShift = 40; // bits below the era

inline std::int64_t
EraOf(std::int64_t aRevision)
{
  return aRevision >> kEraShift;
}

// `aNumber` is the store's own number of a revision within the era.
inline std::int64_t
MakeRevision(std::int64_t aEra, std::int64_t aNumber)
{
  return (aEra << kEraShift) | aNumber;
}

inline std::int64_t
NumberOf(std::int64_t aRevision)
{
  return aRevision & ((std::int64_t{ 1 } << kEraShift) - 1);
}

inline constexpr int kCountBits = 32; // bits of a counter below the era

// The first value in an era of a counter that is never reused, such as an epoch
// or an incarnation. It is above all values that lost writes can have given.
inline std::int64_t
FirstCountOf(std::int64_t aEra)
{
  return std::max<std::int64_t>(1, aEra << kCountBits);
}

// The era in which a value of such a counter was first given.
inline std::int64_t
EraOfCount(std::int64_t aCount)
{
  return aCount >> kCountBits;
}

// A compare-and-swap write: it takes effect only if the object's current
// revision is `mBaseRevision`; 0 means that the object must not exist.
struct conditional_write
{
  std::string mKind;
  std::string mName;
  std::int64_t mBaseRevision = 0;
  std::string mBody;
};

// Not thread-safe. Calls block the calling fiber.
class object_store
{
public:
  virtual ~object_store() = default;

  // Returns all objects and the store revision that the list reflects. A delta
  // with revision 0 carries only a part of them; call List() again.
  virtual absl::StatusOr<object_delta> List() = 0;

  // Waits for a bounded time until a revision newer than `aAfter` exists, and
  // returns the changes, if any. kOutOfRange: `aAfter` is too old; call List()
  // again.
  virtual absl::StatusOr<object_delta> Watch(std::int64_t aAfter) = 0;

  // Waits for at most `aTime` for a change of the configuration or of the
  // evacuations, in a store that watches these by themselves; the delta has
  // revision 0, and no object if there was no change. Used between watches, in
  // which other changes collect.
  virtual absl::StatusOr<object_delta> AwaitConfiguration(duration aTime) = 0;

  virtual absl::StatusOr<stored_object> Get(std::string_view aKind,
                                            std::string_view aName) = 0;

  // Returns the object as written. A write that changes nothing keeps the
  // revision, and no watch sees it. kAborted: another revision is current and
  // the write had no effect. kUnknown: the write may have taken effect, or may
  // still do so.
  virtual absl::StatusOr<stored_object> Write(
    const conditional_write& aWrite) = 0;
};

} // namespace plantaindale
