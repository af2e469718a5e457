// Interfaces by which a request passes through a node: body_source supplies its
// body, response_sink takes its response. Both are streamed in chunks with
// backpressure.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/base/cancellation.h"

namespace plantaindale {

// Maximum bytes of a body that are forwarded at a time. Each running request
// holds a buffer of this size at each node.
inline constexpr std::size_t kChunkSize = 16 * 1024;

// Calls block the calling fiber.
class body_source
{
public:
  virtual ~body_source() = default;
  // Reads into `aBuffer` and returns the number of bytes; 0 at the end of the
  // body. An error means that the body is incomplete.
  virtual absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) = 0;
};

// Calls block the calling fiber.
class response_sink
{
public:
  virtual ~response_sink() = default;
  // The owner has admitted the request; its body may be sent now.
  virtual absl::Status Ready() = 0;
  virtual absl::Status Head(const protocol::answer_head& aHead) = 0;
  virtual absl::Status Body(std::span<const char> aBytes) = 0;
};

// A body that is held in memory. The bytes must outlive it.
class memory_body : public body_source
{
public:
  explicit memory_body(std::string_view aBytes)
    : mRest(aBytes)
  {
  }
  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    const std::size_t count = mRest.copy(aBuffer.data(), aBuffer.size());
    mRest.remove_prefix(count);
    return count;
  }

private:
  std::string_view mRest;
};

} // namespace plantaindale
