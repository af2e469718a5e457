// boot_clock counts time since the machine was started, suspension included,
// which is what a lease needs: a VM that was paused wakes to a clock that has
// moved on.
//
//   instant sent = boot_clock::now();
//   if (boot_clock::now() - sent > std::chrono::seconds(1)) { ... }
#pragma once

#include <chrono>
#include <cstdint>

namespace plantaindale {

using duration = std::chrono::microseconds;

// A clock in the sense of the standard library, over CLOCK_BOOTTIME.
// Thread-safe.
struct boot_clock
{
  using duration = plantaindale::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT: the same
  static time_point now() noexcept; // NOLINT: the name the standard asks for
};

using instant = boot_clock::time_point;

inline constexpr instant kNever = instant::min();

// Microseconds since boot, for logs, dumps and atomics.
inline std::int64_t
ToMicros(instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

inline instant
FromMicros(std::int64_t aMicros)
{
  return instant(duration(aMicros));
}

} // namespace plantaindale
