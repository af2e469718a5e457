#include "plantaindale/limits/server_limiter.h"

#include <algorithm>
#include <utility>

namespace plantaindale {
namespace {

// Waiting requests for each slot, at the most.
constexpr int kQueuePerSlot = 32;
// Waits and run times scatter: a queue that just meets the target by its mean
// would make half of its requests late.
constexpr int kWaitMargin = 2;
// Share of the newest request in the typical time.
constexpr double kNewestShare = 0.05;

} // namespace

server_limiter::turn::turn(server_limiter& aLimiter)
  : mLimiter(&aLimiter)
  , mBegan(boot_clock::now())
{
}

server_limiter::turn::turn(turn&& aOther) noexcept
  : mLimiter(std::exchange(aOther.mLimiter, nullptr))
  , mBegan(aOther.mBegan)
{
}

server_limiter::turn::~turn()
{
  if (mLimiter != nullptr) {
    mLimiter->Release(boot_clock::now() - mBegan);
  }
}

void
server_limiter::SetSlots(int aSlots)
{
  mSlots = aSlots;
  while (mRunning < mSlots && mWaiting > 0) {
    AdmitNext();
  }
}

absl::StatusOr<server_limiter::turn>
server_limiter::Acquire(std::string_view aKey,
                        instant aTarget,
                        instant aDeadline)
{
  if (mRunning < mSlots && mWaiting == 0) {
    ++mRunning;
    return turn(*this);
  }
  if (mWaiting >= mSlots * kQueuePerSlot) {
    return absl::ResourceExhaustedError("the queue is full");
  }
  const instant now = boot_clock::now();
  const instant latest = std::min(aTarget, aDeadline);
  if (now + kWaitMargin * ExpectedWait(aKey) + mTypicalTime > latest) {
    return absl::ResourceExhaustedError("the queue is too long");
  }
  waiter self;
  Enqueue(aKey, self);
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  self.mChanged.wait_for(lock, aDeadline - now, [&] { return self.mAdmitted; });
  lock.unlock();
  if (!self.mAdmitted) {
    Withdraw(aKey, self);
    return absl::DeadlineExceededError("the deadline passed in the queue");
  }
  return turn(*this);
}

duration
server_limiter::ExpectedWait(std::string_view aKey) const
{
  if (mSlots == 0) {
    return duration(0);
  }
  const auto own = mQueues.find(std::string(aKey));
  const std::size_t place =
    own == mQueues.end() ? 1 : own->second->mWaiters.size() + 1;
  std::size_t before = 0;
  for (const key_queue& queue : mTurns) {
    before += std::min(queue.mWaiters.size(), place);
  }
  return mTypicalTime * static_cast<std::int64_t>(before) / mSlots;
}

void
server_limiter::Enqueue(std::string_view aKey, waiter& aWaiter)
{
  ++mWaiting;
  const auto found = mQueues.find(std::string(aKey));
  if (found != mQueues.end()) {
    found->second->mWaiters.push_back(&aWaiter);
    return;
  }
  mTurns.push_back({ std::string(aKey), { &aWaiter } });
  mQueues[std::string(aKey)] = std::prev(mTurns.end());
}

void
server_limiter::Withdraw(std::string_view aKey, waiter& aWaiter)
{
  const auto found = mQueues.find(std::string(aKey));
  if (found == mQueues.end()) {
    return;
  }
  std::deque<waiter*>& waiters = found->second->mWaiters;
  const auto place = std::find(waiters.begin(), waiters.end(), &aWaiter);
  if (place == waiters.end()) {
    return;
  }
  waiters.erase(place);
  --mWaiting;
  if (waiters.empty()) {
    mTurns.erase(found->second);
    mQueues.erase(found);
  }
}

void
server_limiter::Release(duration aTook)
{
  --mRunning;
  const double newest = static_cast<double>(aTook.count());
  const double typical = static_cast<double>(mTypicalTime.count());
  const double mixed = typical + kNewestShare * (newest - typical);
  mTypicalTime = duration(static_cast<std::int64_t>(mixed));
  if (mWaiting > 0 && mRunning < mSlots) {
    AdmitNext();
  }
}

void
server_limiter::AdmitNext()
{
  key_queue& queue = mTurns.front();
  waiter* next = queue.mWaiters.front();
  queue.mWaiters.pop_front();
  if (queue.mWaiters.empty()) {
    mQueues.erase(queue.mKey);
    mTurns.pop_front();
  } else {
    mTurns.splice(mTurns.end(), mTurns, mTurns.begin());
  }
  --mWaiting;
  ++mRunning;
  next->mAdmitted = true;
  next->mChanged.notify_one();
}

} // namespace plantaindale
