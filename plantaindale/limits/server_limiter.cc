#include "plantaindale/limits/server_limiter.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/cancellation.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/limits/admission_refusal.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

bool
HasLeft(cancellation* aRequester)
{
  return aRequester != nullptr && aRequester->Check();
}

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
  , mHasRun(aOther.mHasRun)
{
}

server_limiter::permit::~permit()
{
  if (mLimiter != nullptr) {
    if (mHasRun) {
      mLimiter->mServiceTimes.Add(mRoute, boot_clock::now() - mStartTime);
    }
    mLimiter->Release();
  }
}

void
server_limiter::SetSlots(int aSlots)
{
  mSlots = aSlots;
  mQueue.SetSlots(aSlots);
  AdmitNext();
}

void
server_limiter::SetRate(std::optional<double> aPerSecond)
{
  mRate.SetRate(aPerSecond, boot_clock::now());
  mQueue.SetRate(mRate.Rate());
  AdmitNext();
}

absl::StatusOr<server_limiter::permit>
server_limiter::Acquire(const admission_request& aRequest)
{
  if (HasLeft(aRequest.mCancellation)) {
    return CountWithdrawn();
  }
  const instant now = boot_clock::now();
  const duration run_time = mServiceTimes.ForRoute(aRequest.mRoute);
  const bool has_slot = mRunning < mSlots && Waiting() == 0;
  if (has_slot && mRate.TryTake(now)) {
    ++mRunning;
    mQueue.StartAtOnce(aRequest.mPriority, run_time, now);
    return permit(*this, aRequest.mRoute);
  }
  waiter self(aRequest, run_time);
  const admission_decision decision = mQueue.Offer(self, FirstSlotIn(now), now);
  if (decision.mRefusal) {
    return TurnAway(*decision.mRefusal == admission_refusal::kNoRoom
                      ? turn_away_reason::kNoRoom
                      : turn_away_reason::kQueueFull,
                    aRequest,
                    self,
                    decision.mExpectedWait);
  }
  if (decision.mDisplaced != nullptr) {
    Displace(static_cast<waiter&>(*decision.mDisplaced));
  }
  if (has_slot) {
    AdmitLater();
  }
  std::optional<cancellation::action> on_cancel;
  if (self.mCancellation != nullptr) {
    on_cancel.emplace(*self.mCancellation, [&] { Withdraw(self); });
  }
  Await(self, now);
  mMetrics.CountQueued(boot_clock::now() - now);
  if (self.mIsAdmitted) {
    return permit(*this, aRequest.mRoute);
  }
  if (self.mIsWithdrawn) {
    return CountWithdrawn();
  }
  return TurnAway(self.mIsDisplaced ? turn_away_reason::kDisplaced
                                    : turn_away_reason::kExpired,
                  aRequest,
                  self,
                  ExpectedWait());
}

duration
server_limiter::ExpectedWait() const
{
  return FirstSlotIn(boot_clock::now()) + mQueue.Backlog();
}

// One of the running requests ends, or the rate allows another start.
duration
server_limiter::FirstSlotIn(instant aNow) const
{
  if (mSlots == 0) {
    return duration(0);
  }
  if (mRunning < mSlots) {
    return mRate.Rate() ? std::max(mRate.NextAt() - aNow, duration(0))
                        : duration(0);
  }
  return mServiceTimes.Overall() / mSlots;
}

void
server_limiter::Displace(waiter& aWaiter)
{
  aWaiter.mIsDequeued = true;
  aWaiter.mIsDisplaced = true;
  aWaiter.mDequeued.notify_one();
}

void
server_limiter::Withdraw(waiter& aWaiter)
{
  if (aWaiter.mIsDequeued) {
    return;
  }
  mQueue.Remove(aWaiter);
  aWaiter.mIsDequeued = true;
  aWaiter.mIsWithdrawn = true;
  aWaiter.mDequeued.notify_one();
}

absl::Status
server_limiter::CountWithdrawn()
{
  mMetrics.CountWithdrawn();
  return absl::CancelledError("the requester has left");
}

void
server_limiter::Await(waiter& aWaiter, instant aNow)
{
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  aWaiter.mDequeued.wait_for(
    lock, aWaiter.LatestStart() - aNow, [&] { return aWaiter.mIsDequeued; });
  lock.unlock();
  if (!aWaiter.mIsDequeued) {
    mQueue.Remove(aWaiter);
  }
}

absl::Status
server_limiter::TurnAway(turn_away_reason aReason,
                         const admission_request& aRequest,
                         const queued_request& aQueued,
                         duration aWait)
{
  mMetrics.CountTurnedAway(aReason, aRequest.mPriority);
  const std::string_view reason = ToText(aReason);
  log_event("turned_away", log_level::kWarning)
    .With("reason", reason)
    .With("route", aRequest.mRoute)
    .With("priority", aRequest.mPriority)
    .With("call", aRequest.mIsCall ? "yes" : "no")
    .With("expected_wait_us", aWait.count())
    .With("run_us", aQueued.mRunTime.count())
    .With("left_us", (aRequest.mDeadline - boot_clock::now()).count())
    .With("running", mRunning)
    .With("waiting", Waiting())
    .With("slots", mSlots);
  return MakeRefusal(aReason == turn_away_reason::kExpired
                       ? absl::StatusCode::kDeadlineExceeded
                       : absl::StatusCode::kResourceExhausted,
                     absl::StrCat("too little room: ", std::string(reason)),
                     aWait);
}

void
server_limiter::Release()
{
  --mRunning;
  AdmitNext();
}

// Requests that can no longer finish in time are dequeued without admission.
void
server_limiter::AdmitNext()
{
  const instant now = boot_clock::now();
  while (mRunning < mSlots) {
    queued_request* const next = mQueue.Next(now);
    if (next == nullptr) {
      return;
    }
    waiter& called = static_cast<waiter&>(*next);
    if (HasLeft(called.mCancellation)) {
      Withdraw(called);
      continue;
    }
    const bool can_end_in_time = now <= called.LatestStart();
    if (can_end_in_time && !mRate.TryTake(now)) {
      AdmitLater();
      return;
    }
    if (can_end_in_time) {
      mQueue.Start(called);
      ++mRunning;
    } else {
      mQueue.Remove(called);
    }
    called.mIsDequeued = true;
    called.mIsAdmitted = can_end_in_time;
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
