// RetryAfter says when a caller whose request was turned away should return:
// when the work that waited before it will have been started, spread so that
// callers who were turned away together don't return together.
//
//   RetryAfter(milliseconds(800), milliseconds(3000), random(0..1))
//   // 800 to 1000 ms, since callers wait for a third of their time at most
#pragma once

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Used where the wait is not known; about the time until a slot becomes free.
inline constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);

// `aWait` is when room is expected, `aTimeLeft` the time until the caller gives
// up, `aSpread` from 0 to 1. At least kMinRetryAfter.
duration
RetryAfter(duration aWait, duration aTimeLeft, double aSpread);

} // namespace plantaindale
