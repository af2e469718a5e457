// The two ends of a request as it passes through a node: where its body comes
// from and where its answer goes. Neither is ever held whole; a slow reader
// slows its writer down.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"

namespace plantaindale {

// Bytes of a body that are passed on at a time.
inline constexpr std::size_t kChunkSize = 64 * 1024;

// Calls wait on the calling fiber.
class body_source
{
public:
  virtual ~body_source() = default;
  // Fills a part of `aBuffer` and returns its length; 0 at the body's end. An
  // error: the body broke off.
  virtual absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) = 0;
};

// Calls wait on the calling fiber.
class response_sink
{
public:
  virtual ~response_sink() = default;
  // The owner will run the request: the body may be sent now.
  virtual absl::Status Ready() = 0;
  virtual absl::Status Head(const protocol::answer_head& aHead) = 0;
  virtual absl::Status Body(std::span<const char> aBytes) = 0;
};

// Tells whoever runs a request that nobody waits for its answer any more.
// Belongs to one thread.
class cancellation
{
public:
  void Cancel()
  {
    mIsCancelled = true;
    if (mOnCancel) {
      mOnCancel();
    }
  }
  // `aAction` runs on a cancellation from now on, until it is replaced; it
  // must not wait.
  void OnCancel(std::function<void()> aAction)
  {
    mOnCancel = std::move(aAction);
  }
  bool IsCancelled() const { return mIsCancelled; }

private:
  bool mIsCancelled = false;
  std::function<void()> mOnCancel;
};

// A body that is in memory already.
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
