#include "plantaindale/limits/server_limiter.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

constexpr int kMaxQueuePerSlot = 32;
// Waits and run times vary: if the mean wait exactly met the target, half of
// the requests would be late.
constexpr int kWaitSafetyFactor = 2;

} // namespace

server_limiter::permit::permit(server_limiter& aLimiter,
                               std::string_view aRoute)
  : mLimiter(&aLimiter)
  , mRoute(aRoute)
  , mStartTime(boot_clock::now())
{
}

server_limiter::permit::permit(permit&& aOther) noexcept
  : mLimiter(std::exchange(aOther.mLimiter, nullptr))
  , mRoute(std::move(aOther.mRoute))
  , mStartTime(aOther.mStartTime)
{
}

server_limiter::permit::~permit()
{
  if (mLimiter != nullptr) {
    mLimiter->Release(mRoute, boot_clock::now() - mStartTime);
  }
}

void
server_limiter::SetSlots(int aSlots)
{
  mSlots = aSlots;
  AdmitNext();
}

void
server_limiter::SetRate(std::optional<double> aPerSecond)
{
  mRate.SetRate(aPerSecond, boot_clock::now());
  AdmitNext();
}

absl::StatusOr<server_limiter::permit>
server_limiter::Acquire(const admission_request& aRequest)
{
  const bool has_slot = mRunning < mSlots && mQueue.empty();
  if (has_slot && mRate.TryTake(boot_clock::now())) {
    ++mRunning;
    return permit(*this, aRequest.mRoute);
  }
  if (Waiting() >= mSlots * kMaxQueuePerSlot) {
    return absl::ResourceExhaustedError("the queue is full");
  }
  const instant now = boot_clock::now();
  const duration expected_run_time = mServiceTimes.ForRoute(aRequest.mRoute);
  const instant latest = std::min(aRequest.mTarget, aRequest.mDeadline);
  const queue_position position = PositionOf(aRequest);
  if (now + kWaitSafetyFactor * ExpectedWait(position) + expected_run_time >
      latest) {
    return absl::ResourceExhaustedError(
      "estimated wait exceeds the latency target or the deadline");
  }
  const std::string key(aRequest.mKey);
  key_state& state = mKeys[key];
  ++state.mWaiting;
  state.mLastRound = std::get<1>(position);
  waiter self;
  self.mStartBy = aRequest.mDeadline - expected_run_time;
  mQueue.emplace(position, &self);
  if (has_slot) {
    AdmitLater();
  }
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  self.mDequeued.wait_for(
    lock, self.mStartBy - now, [&] { return self.mIsDequeued; });
  lock.unlock();
  if (!self.mIsDequeued) {
    mQueue.erase(position);
  }
  RemoveWaiter(key);
  if (!self.mIsAdmitted) {
    return absl::DeadlineExceededError(
      "too little time left to run after queueing");
  }
  return permit(*this, aRequest.mRoute);
}

server_limiter::queue_position
server_limiter::PositionOf(const admission_request& aRequest)
{
  std::int64_t round = 0;
  if (!aRequest.mKey.empty()) {
    const auto found = mKeys.find(aRequest.mKey);
    const std::int64_t last =
      found == mKeys.end() ? 0 : found->second.mLastRound;
    round = std::max(last, mRound) + 1;
  }
  return { aRequest.mPriority, round, aRequest.mTarget, mNextOrder++ };
}

duration
server_limiter::ExpectedWait(const queue_position& aPosition) const
{
  if (mSlots == 0) {
    return duration(0);
  }
  const auto before =
    std::distance(mQueue.begin(), mQueue.lower_bound(aPosition));
  return std::max(mServiceTimes.Overall() * before / mSlots,
                  mRate.TimeFor(static_cast<double>(before)));
}

void
server_limiter::RemoveWaiter(const std::string& aKey)
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
  mServiceTimes.Add(aRoute, aTook);
  AdmitNext();
}

// Requests that can no longer finish in time are dequeued without admission.
void
server_limiter::AdmitNext()
{
  const instant now = boot_clock::now();
  while (mRunning < mSlots && !mQueue.empty()) {
    const auto next = mQueue.begin();
    waiter& called = *next->second;
    if (now <= called.mStartBy && !mRate.TryTake(now)) {
      AdmitLater();
      return;
    }
    mRound = std::max(mRound, std::get<1>(next->first));
    mQueue.erase(next);
    called.mIsDequeued = true;
    called.mIsAdmitted = now <= called.mStartBy;
    mRunning += called.mIsAdmitted ? 1 : 0;
    called.mDequeued.notify_one();
  }
}

void
server_limiter::AdmitLater()
{
  if (std::exchange(mIsAdmissionDue, true)) {
    return;
  }
  boost::fibers::fiber([this, at = mRate.NextAt()] {
    const instant now = boot_clock::now();
    if (now < at) {
      boost::this_fiber::sleep_for(at - now);
    }
    mIsAdmissionDue = false;
    AdmitNext();
  }).detach();
}

} // namespace plantaindale
