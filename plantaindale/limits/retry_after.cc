#include "plantaindale/limits/retry_after.h"

#include <algorithm>

namespace plantaindale {
namespace {

// Callers honour no more than this part of the time that they have left.
constexpr int kPartOfTimeLeft = 3;
// Callers return within the wait and this part of it.
constexpr int kPartOfSpread = 2;

} // namespace

duration
RetryAfter(duration aWait, duration aTimeLeft, double aSpread)
{
  const duration most = std::max(aTimeLeft / kPartOfTimeLeft, kMinRetryAfter);
  // Leaves room for the whole spread.
  const duration latest_first = most * kPartOfSpread / (kPartOfSpread + 1);
  const duration first =
    std::clamp(aWait, kMinRetryAfter, std::max(latest_first, kMinRetryAfter));
  const duration last = std::min(first + first / kPartOfSpread, most);
  const double offset =
    std::clamp(aSpread, 0.0, 1.0) * static_cast<double>((last - first).count());
  return first + duration(static_cast<std::int64_t>(offset));
}

} // namespace plantaindale
