// log_rate_limiter limits the rate of log lines for each event with a token
// bucket, which bounds the cost of frequent events. Suppressed lines are
// counted and reported with the next line of the event.
//
//   const auto suppressed = limiter.TryAcquire("request_ended", now);
//   if (suppressed) { ... write the line, with left_out=*suppressed ... }
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
  // Sustained lines per second and burst size, in lines, of each event. This is
  // enough to trace single requests and costs a few percent of the CPU of a
  // small node.
  static constexpr double kLinesPerSecond = 40;
  static constexpr double kBurst = 80;

  // Returns nullopt if the line must be suppressed, else the number of lines
  // suppressed since the last admitted line of this event.
  std::optional<std::int64_t> TryAcquire(std::string_view aEvent, instant aNow);
  // Counts an admitted line that could not be written as suppressed, together
  // with the count that TryAcquire() returned for it.
  void CountDropped(std::string_view aEvent, std::int64_t aSuppressed);

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
