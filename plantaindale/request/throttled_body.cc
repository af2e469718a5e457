#include "plantaindale/request/throttled_body.h"

#include <utility>

namespace plantaindale {
namespace {

// Some times as long as 60 KB take on a link of 10 Mbit/s.
constexpr duration kMaxPermitTime = std::chrono::milliseconds(250);

} // namespace

throttled_body::throttled_body(body_source& aBody,
                               server_limiter::permit aPermit)
  : mBody(aBody)
  , mPermit(std::move(aPermit))
{
}

absl::StatusOr<std::size_t>
throttled_body::Read(std::span<char> aBuffer)
{
  if (mEndsBy == kNever) {
    mEndsBy = boot_clock::now() + kMaxPermitTime;
  }
  auto got = mBody.Read(aBuffer);
  const bool has_ended = !got.ok() || *got == 0;
  if (has_ended || boot_clock::now() >= mEndsBy) {
    mPermit.reset();
  }
  return got;
}

} // namespace plantaindale
