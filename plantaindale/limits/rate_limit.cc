#include "plantaindale/limits/rate_limit.h"

#include <algorithm>

namespace plantaindale {
namespace {

constexpr double kMinRate = 0.5; // starts per second
// Starts within this time may come at once.
constexpr duration kBurstTime = std::chrono::milliseconds(250);

duration
Interval(double aRate)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(1 / aRate));
}

} // namespace

void
rate_limit::SetRate(std::optional<double> aPerSecond, instant aNow)
{
  const bool was_limited = mRate.has_value();
  mRate = aPerSecond;
  if (mRate) {
    mRate = std::max(*mRate, kMinRate);
  }
  if (!was_limited) {
    mFullAt = aNow;
  }
}

// At least one start fits, however low the rate.
duration
rate_limit::Burst() const
{
  return std::max(Interval(*mRate), kBurstTime);
}

bool
rate_limit::TryTake(instant aNow)
{
  if (!mRate) {
    return true;
  }
  if (aNow < NextAt()) {
    return false;
  }
  mFullAt = std::max(mFullAt, aNow) + Interval(*mRate);
  return true;
}

instant
rate_limit::NextAt() const
{
  return mRate ? mFullAt + Interval(*mRate) - Burst() : kNever;
}

duration
rate_limit::TimeFor(double aCount) const
{
  return mRate ? std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(aCount / *mRate))
               : duration(0);
}

} // namespace plantaindale
