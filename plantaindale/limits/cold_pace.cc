#include "plantaindale/limits/cold_pace.h"

#include <algorithm>

namespace plantaindale {
namespace {

// A server that gets no answer to a heartbeat for this time gives it up, so a
// later one was sent afterwards.
constexpr duration kMaxHeartbeatTransit = std::chrono::seconds(1);

} // namespace

void
cold_pace::OnHeartbeat(std::string_view aStart,
                       std::optional<duration> aColdFor,
                       duration aColdStart,
                       instant aNow)
{
  const bool is_new_start = aStart != mStart;
  mStart = aStart;
  if (aNow < mTrustedFrom) {
    return;
  }
  const bool is_unknown = mColdUntil == instant::max();
  if (aColdFor) {
    mColdUntil = *aColdFor > duration(0) ? aNow + *aColdFor : kNever;
  } else if (is_new_start || is_unknown) {
    mColdUntil = aNow + aColdStart;
  }
}

void
cold_pace::OnEvacuationEnded(instant aNow)
{
  mColdUntil = instant::max();
  mTrustedFrom = aNow + kMaxHeartbeatTransit;
}

} // namespace plantaindale
