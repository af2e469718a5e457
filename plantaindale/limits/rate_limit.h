// rate_limit spaces the starts of requests so that they stay under a rate. A
// short burst is allowed, so that requests need not arrive evenly.
//
//   limit.SetRate(13.6);
//   if (limit.TryTake(now)) { ... } else { ... wait until limit.NextAt() ... }
#pragma once

#include <optional>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Single-threaded.
class rate_limit
{
public:
  // Starts per second; none: unlimited. A rate of 0 lets a request through
  // every other second, whose response shows whether the limit still holds.
  void SetRate(std::optional<double> aPerSecond, instant aNow);
  // Takes one start if the rate allows it now.
  bool TryTake(instant aNow);

  std::optional<double> Rate() const { return mRate; }
  // When TryTake() will succeed again if nothing is taken before.
  instant NextAt() const;
  // Time for `aCount` starts at the rate; 0 if unlimited.
  duration TimeFor(double aCount) const;

private:
  duration Burst() const;

  std::optional<double> mRate;
  // When the bucket would be full again; each start moves it by one interval.
  instant mFullAt = kNever;
};

} // namespace plantaindale
