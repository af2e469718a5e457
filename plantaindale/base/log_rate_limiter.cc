#include "plantaindale/base/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace plantaindale {

std::optional<std::int64_t>
log_rate_limiter::TryAcquire(std::string_view aEvent, instant aNow)
{
  auto found = mEvents.find(aEvent);
  if (found == mEvents.end()) {
    found = mEvents.emplace(std::string(aEvent), event_state()).first;
    found->second.mRefilledAt = aNow;
  }
  event_state& state = found->second;
  const std::chrono::duration<double> since = aNow - state.mRefilledAt;
  state.mRefilledAt = aNow;
  state.mTokens =
    std::min(kBurst, state.mTokens + since.count() * kLinesPerSecond);
  if (state.mTokens < 1) {
    ++state.mSuppressed;
    return std::nullopt;
  }
  state.mTokens -= 1;
  return std::exchange(state.mSuppressed, 0);
}

void
log_rate_limiter::CountDropped(std::string_view aEvent,
                               std::int64_t aSuppressed)
{
  const auto found = mEvents.find(aEvent);
  if (found != mEvents.end()) {
    found->second.mSuppressed += aSuppressed + 1;
  }
}

} // namespace plantaindale
