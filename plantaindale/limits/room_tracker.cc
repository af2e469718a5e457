#include "plantaindale/limits/room_tracker.h"

#include <algorithm>
#include <cmath>

namespace plantaindale {
namespace {

using seconds = std::chrono::duration<double>;

// Long enough to see the usual share of slow moments of a machine.
constexpr seconds kMemory{ 8 };
// Requests that are needed to tell a server's speed. So many are remembered
// also if they are older: a server that runs few requests keeps its speed.
constexpr double kMinRuns = 60;
// Servers without keys get no requests and tell no load, but keep their speed.
constexpr seconds kCapacityLifetime{ 60 };

duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<duration>(seconds(aSeconds));
}

} // namespace

void
room_tracker::decaying_mean::Add(double aValue, instant aNow)
{
  if (mWeight > kMinRuns) {
    const double decay = std::exp(-(seconds(aNow - mUpdatedAt) / kMemory));
    const double kept = std::max(decay, kMinRuns / mWeight);
    mWeight *= kept;
    mSum *= kept;
  }
  mWeight += 1;
  mSum += aValue;
  mUpdatedAt = aNow;
}

void
room_tracker::SetServer(int aSlots)
{
  *this = room_tracker();
  mSlots = aSlots;
}

bool
room_tracker::OnLoad(const server_load& aLoad, instant aNow)
{
  if (aLoad.mSlots != mSlots || aLoad.mSlowness == 0) {
    return false;
  }
  mLoad = aLoad;
  mLoadAt = aNow;
  mSlowness.Add(aLoad.mSlowness, aNow);
  return true;
}

void
room_tracker::OnRun(duration aTook, instant aNow)
{
  const seconds took = std::max(aTook, duration(1));
  mLogRunSeconds.Add(std::log(took.count()), aNow);
}

duration
room_tracker::UsualRun() const
{
  return mLogRunSeconds.mWeight < kMinRuns
           ? duration(0)
           : ToDuration(std::exp(mLogRunSeconds.Mean()));
}

server_room
room_tracker::Room(const server_demand& aDemand, instant aNow) const
{
  const bool is_known = mLoad && aNow < mLoadAt + kRoomLifetime;
  if (!is_known) {
    return {};
  }
  const bool is_fresh = aNow < mLoadAt + kSlownessLifetime;
  server_room room;
  room.mSlots = mSlots;
  room.mRunning = aDemand.mRunning;
  room.mWaiting = aDemand.mWaiting + (is_fresh ? mLoad->mWaiting : 0);
  room.mSlowness = is_fresh ? mLoad->mSlowness / mSlowness.Mean() : 0;
  room.mRun = UsualRun();
  room.mMeasuredAt = aNow;
  if (room.mRunning >= room.mSlots) {
    room.mWait = room.mRun * (room.mWaiting + 1) / room.mSlots;
  }
  if (aDemand.mStartsPerSecond) {
    // A server that takes nothing now may do so in some seconds.
    constexpr double kLeastStartsPerSecond = 0.1;
    room.mStartsPerSecond =
      std::max(*aDemand.mStartsPerSecond, kLeastStartsPerSecond);
    const double wait = aDemand.mWaiting / room.mStartsPerSecond;
    room.mWait = std::max(room.mWait, ToDuration(wait));
  }
  return room;
}

double
room_tracker::Capacity(instant aNow) const
{
  const bool is_known = mLoad && aNow < mLoadAt + kCapacityLifetime;
  const duration run = is_known ? UsualRun() : duration(0);
  return run == duration(0) ? 0 : mSlots / seconds(run).count();
}

} // namespace plantaindale
