// log_budget bounds the lines of each kind of event, so that a flood of them
// costs little; what is left out is counted and told by the next line.
//
//   const auto left_out = budget.Take("request_ended", now);
//   if (left_out) { ... write, with left_out=*left_out }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Not thread-safe.
class log_rate_limiter
{
public:
  // Lines of one event in a second, and at once after a pause: enough to follow
  // single requests, and a few percent of the processor of a small node.
  static constexpr double kLinesPerSecond = 40;
  static constexpr double kBurst = 80;

  // None: the line is left out. Otherwise how many were before it.
  std::optional<std::int64_t> TryAcquire(std::string_view aEvent, instant aNow);
  // A line that was admitted could not be written.
  void CountDropped(std::string_view aEvent, std::int64_t aLeftOut);

private:
  struct event_state
  {
    double mTokens = kBurst;
    instant mRefilledAt = kNever;
    std::int64_t mSuppressed = 0;
  };

  std::map<std::string, event_state, std::less<>> mEvents;
};

} // namespace plantaindale
