// boot_clock measures time since boot, including time in suspension. Leases
// need this clock, so that they expire while a VM is suspended.
//
//   instant sent = boot_clock::now();
//   if (boot_clock::now() - sent > std::chrono::seconds(1)) { ... }
#pragma once

#include <chrono>
#include <cstdint>

namespace plantaindale {

using duration = std::chrono::microseconds;

// A clock as defined by the C++ standard library, based on CLOCK_BOOTTIME, with
// microsecond resolution. Thread-safe.
struct boot_clock
{
  using duration = plantaindale::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT: standard name
  static time_point now() noexcept;       // NOLINT: standard name
};

using instant = boot_clock::time_point;

// Stands for an instant that has not occurred; before any other instant.
inline constexpr instant kNever = instant::min();

// Converts to microseconds since boot, for logs, dumps and atomics.
inline std::int64_t
ToMicros(instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

// Converts from microseconds since boot.
inline instant
FromMicros(std::int64_t aMicros)
{
  return instant(duration(aMicros));
}

} // namespace plantaindale
