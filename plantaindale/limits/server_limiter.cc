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

} // namespace

server_limiter::turn::turn(server_limiter& aLimiter, std::string_view aRoute)
  : mLimiter(&aLimiter)
  , mRoute(aRoute)
  , mBegan(boot_clock::now())
{
}

server_limiter::turn::turn(turn&& aOther) noexcept
  : mLimiter(std::exchange(aOther.mLimiter, nullptr))
  , mRoute(std::move(aOther.mRoute))
  , mBegan(aOther.mBegan)
{
}

server_limiter::turn::~turn()
{
  if (mLimiter != nullptr) {
    mLimiter->Release(mRoute, boot_clock::now() - mBegan);
  }
}

void
server_limiter::SetSlots(int aSlots)
{
  mSlots = aSlots;
  CallNext();
}

absl::StatusOr<server_limiter::turn>
server_limiter::Acquire(const admission& aRequest)
{
  if (mRunning < mSlots && mQueue.empty()) {
    ++mRunning;
    return turn(*this, aRequest.mRoute);
  }
  if (Waiting() >= mSlots * kQueuePerSlot) {
    return absl::ResourceExhaustedError("the queue is full");
  }
  const instant now = boot_clock::now();
  const duration own_time = mTimes.Of(aRequest.mRoute);
  const instant latest = std::min(aRequest.mTarget, aRequest.mDeadline);
  const place place = PlaceOf(aRequest);
  if (now + kWaitMargin * ExpectedWait(place) + own_time > latest) {
    return absl::ResourceExhaustedError("the queue is too long");
  }
  const std::string key(aRequest.mKey);
  key_state& state = mKeys[key];
  ++state.mWaiting;
  state.mLastTurn = std::get<1>(place);
  waiter self;
  self.mStartBy = aRequest.mDeadline - own_time;
  mQueue.emplace(place, &self);
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  self.mChanged.wait_for(
    lock, self.mStartBy - now, [&] { return self.mIsCalled; });
  lock.unlock();
  if (!self.mIsCalled) {
    mQueue.erase(place);
  }
  ForgetWaiter(key);
  if (!self.mIsAdmitted) {
    return absl::DeadlineExceededError("too little time was left in the queue");
  }
  return turn(*this, aRequest.mRoute);
}

server_limiter::place
server_limiter::PlaceOf(const admission& aRequest)
{
  std::int64_t turn = 0;
  if (!aRequest.mKey.empty()) {
    const auto found = mKeys.find(aRequest.mKey);
    const std::int64_t last =
      found == mKeys.end() ? 0 : found->second.mLastTurn;
    turn = std::max(last, mTurn) + 1;
  }
  return { aRequest.mPriority, turn, aRequest.mTarget, mNextOrder++ };
}

duration
server_limiter::ExpectedWait(const place& aPlace) const
{
  if (mSlots == 0) {
    return duration(0);
  }
  const auto before = std::distance(mQueue.begin(), mQueue.lower_bound(aPlace));
  return mTimes.OfAll() * before / mSlots;
}

void
server_limiter::ForgetWaiter(const std::string& aKey)
{
  const auto found = mKeys.find(aKey);
  if (--found->second.mWaiting == 0) {
    mKeys.erase(found);
  }
}

void
server_limiter::Release(std::string_view aRoute, duration aTook)
{
  --mRunning;
  mTimes.Add(aRoute, aTook);
  CallNext();
}

// One that could no longer end in time is called too, and not admitted.
void
server_limiter::CallNext()
{
  const instant now = boot_clock::now();
  while (mRunning < mSlots && !mQueue.empty()) {
    const auto next = mQueue.begin();
    waiter& called = *next->second;
    mTurn = std::max(mTurn, std::get<1>(next->first));
    mQueue.erase(next);
    called.mIsCalled = true;
    called.mIsAdmitted = now <= called.mStartBy;
    mRunning += called.mIsAdmitted ? 1 : 0;
    called.mChanged.notify_one();
  }
}

} // namespace plantaindale
