#include "plantaindale/base/log_budget.h"

#include <algorithm>
#include <utility>

namespace plantaindale {

std::optional<std::int64_t>
log_budget::Take(std::string_view aEvent, instant aNow)
{
  auto found = mEvents.find(aEvent);
  if (found == mEvents.end()) {
    found = mEvents.emplace(std::string(aEvent), event_state()).first;
    found->second.mAt = aNow;
  }
  event_state& state = found->second;
  const std::chrono::duration<double> since = aNow - state.mAt;
  state.mAt = aNow;
  state.mLines =
    std::min(kBurst, state.mLines + since.count() * kLinesPerSecond);
  if (state.mLines < 1) {
    ++state.mLeftOut;
    return std::nullopt;
  }
  state.mLines -= 1;
  return std::exchange(state.mLeftOut, 0);
}

void
log_budget::Return(std::string_view aEvent, std::int64_t aLeftOut)
{
  const auto found = mEvents.find(aEvent);
  if (found != mEvents.end()) {
    found->second.mLeftOut += aLeftOut + 1;
  }
}

} // namespace plantaindale
