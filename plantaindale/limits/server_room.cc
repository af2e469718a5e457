#include "plantaindale/limits/server_room.h"

#include <cmath>

namespace plantaindale {
namespace {

// Longer than any run time or wait that a report can mean.
constexpr duration kMaxTime = std::chrono::hours(1);

bool
IsPossibleTime(std::int64_t aMicros)
{
  return aMicros >= 0 && aMicros <= kMaxTime.count();
}

bool
IsPossible(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0;
}

} // namespace

duration
server_room::ExpectedRun(instant aNow) const
{
  if (!IsKnown(aNow)) {
    return duration(0);
  }
  const bool is_slowness_known =
    mSlowness > 0 && aNow < mMeasuredAt + kSlownessLifetime;
  const double slowness = is_slowness_known ? mSlowness : 1;
  return duration(
    static_cast<std::int64_t>(static_cast<double>(mRun.count()) * slowness));
}

protocol::server_room
ToMessage(const server_room& aRoom)
{
  protocol::server_room message;
  message.slots = aRoom.mSlots;
  message.running = aRoom.mRunning;
  message.waiting = aRoom.mWaiting;
  message.slowness = aRoom.mSlowness;
  message.starts_per_s = aRoom.mStartsPerSecond;
  message.wait_us = aRoom.mWait.count();
  message.run_us = aRoom.mRun.count();
  return message;
}

server_room
FromMessage(const protocol::server_room& aMessage, instant aReceivedAt)
{
  const bool is_possible =
    aMessage.slots > 0 && aMessage.running >= 0 && aMessage.waiting >= 0 &&
    IsPossible(aMessage.slowness) && IsPossible(aMessage.starts_per_s) &&
    IsPossibleTime(aMessage.wait_us) && IsPossibleTime(aMessage.run_us);
  if (!is_possible) {
    return {};
  }
  return { aMessage.slots,
           aMessage.running,
           aMessage.waiting,
           aMessage.slowness,
           aMessage.starts_per_s,
           duration(aMessage.wait_us),
           duration(aMessage.run_us),
           aReceivedAt };
}

} // namespace plantaindale
