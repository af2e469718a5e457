#include "plantaindale/request/paced_body.h"

#include <utility>

namespace plantaindale {
namespace {

// Some times as long as 60 KB take on a link of 10 Mbit/s.
constexpr duration kLongestTurn = std::chrono::milliseconds(250);

} // namespace

paced_body::paced_body(body_source& aBody, server_limiter::turn aTurn)
  : mBody(aBody)
  , mTurn(std::move(aTurn))
{
}

absl::StatusOr<std::size_t>
paced_body::Read(std::span<char> aBuffer)
{
  if (mEndsBy == kNever) {
    mEndsBy = boot_clock::now() + kLongestTurn;
  }
  auto got = mBody.Read(aBuffer);
  const bool has_ended = !got.ok() || *got == 0;
  if (has_ended || boot_clock::now() >= mEndsBy) {
    mTurn.reset();
  }
  return got;
}

} // namespace plantaindale
