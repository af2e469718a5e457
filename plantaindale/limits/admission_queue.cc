#include "plantaindale/limits/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace plantaindale {
namespace {

constexpr int kMaxQueuePerSlot = 32;
// Waits vary: if the mean wait exactly met the target, half of the requests
// would be late.
constexpr int kWaitSafetyFactor = 2;
// Even if more urgent work seems to take all slots, some become free.
constexpr double kMaxShareBefore = 0.6;

// Halfway between target and deadline, so that tight targets go first and,
// among equal ones, the callers that give up first.
instant
OrderTimeOf(const queued_request& aRequest)
{
  return aRequest.mTarget + (aRequest.mDeadline - aRequest.mTarget) / 2 -
         aRequest.mRunTime;
}

// What is turned away first compares as greater.
auto
Expendability(const queued_request& aRequest)
{
  return std::tuple(
    aRequest.mPriority, !aRequest.mIsCall, aRequest.mIsLate, aRequest.mRunTime);
}

// Whether `aVictim` may be turned away in favour of `aRequest`. Run times alone
// are estimates that differ too little for that.
bool
IsWorthLess(const queued_request& aVictim, const queued_request& aRequest)
{
  const auto worth = [](const queued_request& aOne) {
    return std::tuple(aOne.mPriority, !aOne.mIsCall, aOne.mIsLate);
  };
  return worth(aVictim) > worth(aRequest);
}

// The slack of more urgent work that less urgent calls may use.
class urgent_slack
{
public:
  explicit urgent_slack(instant aNow)
    : mNow(aNow)
  {
  }

  // Adds the next request in queue order, behind work that takes `aAhead`. Its
  // own run time is kept in reserve, since run times vary.
  void Add(const queued_request& aRequest, duration aAhead)
  {
    const instant start = mNow + aAhead;
    const duration slack =
      aRequest.DueAt(start) - start - 2 * aRequest.mRunTime;
    mLeast = std::min(mLeast, slack);
  }

  bool HasRoomFor(duration aCost) const { return mLeast >= aCost; }

private:
  instant mNow;
  duration mLeast = duration::max();
};

} // namespace

bool
admission_queue::goes_before::operator()(const queued_request* aLeft,
                                         const queued_request* aRight) const
{
  const auto place = [](const queued_request& aOne) {
    return std::tuple(aOne.mPriority,
                      !aOne.mIsCall,
                      aOne.mIsLate,
                      aOne.mRound,
                      OrderTimeOf(aOne),
                      aOne.mArrival);
  };
  return place(*aLeft) < place(*aRight);
}

admission_decision
admission_queue::Offer(queued_request& aRequest,
                       duration aFirstSlotIn,
                       instant aNow)
{
  aRequest.mArrival = mArrivals++;
  aRequest.mRound = RoundOf(aRequest);
  admission_decision decision;
  decision.mExpectedWait = Place(aRequest, aFirstSlotIn, aNow);
  const bool must_be_in_time = !mQueuesLate && !aRequest.mIsCall;
  const instant safe_start = aNow + kWaitSafetyFactor * decision.mExpectedWait;
  const bool is_hopeless =
    must_be_in_time ? safe_start + aRequest.mRunTime > aRequest.mTarget
                    : aNow + decision.mExpectedWait > aRequest.LatestStart();
  if (is_hopeless) {
    decision.mRefusal = admission_refusal::kNoRoom;
    return decision;
  }
  if (Size() >= mSlots * kMaxQueuePerSlot) {
    decision.mDisplaced = FindVictim(aRequest);
    if (decision.mDisplaced == nullptr) {
      decision.mRefusal = admission_refusal::kQueueFull;
      return decision;
    }
    Remove(*decision.mDisplaced);
  }
  Insert(aRequest);
  if (!aRequest.mIsLate) {
    mLoad.Add(aRequest.mPriority, aRequest.mRunTime, aNow);
  }
  queued_request* last = *mQueue.rbegin();
  const bool is_last_hopeless =
    last != &aRequest && decision.mDisplaced == nullptr &&
    aNow + aFirstSlotIn + WaitOf(*last, aNow) > last->LatestStart();
  if (is_last_hopeless) {
    decision.mDisplaced = last;
    Remove(*last);
  }
  return decision;
}

queued_request*
admission_queue::Next(instant aNow)
{
  MoveLate(aNow);
  if (mQueue.empty()) {
    return nullptr;
  }
  queued_request* next = *mQueue.begin();
  if (mWaitingCalls == 0) {
    return next; // only calls may go before more urgent work
  }
  const int least_urgent = (*mQueue.rbegin())->mPriority;
  urgent_slack slack(aNow);
  duration ahead(0);
  int priority = next->mPriority;
  for (queued_request* request : mQueue) {
    if (request->mPriority != priority) {
      priority = request->mPriority;
      const bool is_pressing = request->DueAt(aNow) - request->mRunTime <
                               next->DueAt(aNow) - next->mRunTime;
      if (request->mIsCall && is_pressing &&
          slack.HasRoomFor(CostOf(*request))) {
        next = request;
      }
    }
    if (priority == least_urgent) {
      break;
    }
    slack.Add(*request, ahead);
    ahead += CostOf(*request);
    if (!slack.HasRoomFor(duration(0))) {
      break;
    }
  }
  return next;
}

void
admission_queue::Start(queued_request& aRequest)
{
  mRound = std::max(mRound, aRequest.mRound);
  Remove(aRequest);
}

void
admission_queue::Remove(queued_request& aRequest)
{
  mQueue.erase(&aRequest);
  mWaitingCalls -= aRequest.mIsCall ? 1 : 0;
  if (aRequest.mKey.empty()) {
    return;
  }
  const auto found = mKeys.find(aRequest.mKey);
  if (--found->second.mWaiting == 0) {
    mKeys.erase(found);
  }
}

duration
admission_queue::Backlog() const
{
  duration backlog(0);
  for (const queued_request* request : mQueue) {
    backlog += CostOf(*request);
  }
  return backlog;
}

std::int64_t
admission_queue::RoundOf(const queued_request& aRequest) const
{
  if (aRequest.mKey.empty()) {
    return 0;
  }
  const auto found = mKeys.find(aRequest.mKey);
  const std::int64_t last = found == mKeys.end() ? 0 : found->second.mLastRound;
  return std::max(last, mRound) + 1;
}

// The time by which one request delays those behind it.
duration
admission_queue::CostOf(const queued_request& aRequest) const
{
  const duration work = aRequest.mRunTime / std::max(mSlots, 1);
  if (!mRate) {
    return work;
  }
  const std::chrono::duration<double> interval(1 / *mRate);
  return std::max(work, std::chrono::duration_cast<duration>(interval));
}

duration
admission_queue::WaitOf(queued_request& aRequest, instant aNow) const
{
  urgent_slack slack(aNow);
  duration urgent(0); // work that is more urgent
  duration peers(0);  // work of the same priority that goes first
  const auto end = mQueue.lower_bound(&aRequest);
  for (auto next = mQueue.begin(); next != end; ++next) {
    if ((*next)->mPriority != aRequest.mPriority) {
      slack.Add(**next, urgent);
      urgent += CostOf(**next);
    } else {
      peers += CostOf(**next);
    }
  }
  const duration own = peers + CostOf(aRequest);
  const bool may_go_first = (aRequest.mIsCall || urgent == duration(0)) &&
                            aRequest.IsInTimeAt(aNow + peers) &&
                            slack.HasRoomFor(own);
  if (may_go_first) {
    return peers;
  }
  const int last_before = aRequest.mPriority - (aRequest.mIsLate ? 0 : 1);
  const double share =
    std::min(mLoad.ShareUpTo(last_before, mSlots, aNow), kMaxShareBefore);
  return duration(static_cast<std::int64_t>(
    static_cast<double>((urgent + peers).count()) / (1 - share)));
}

duration
admission_queue::Place(queued_request& aRequest,
                       duration aFirstSlotIn,
                       instant aNow)
{
  aRequest.mIsLate = false;
  const duration wait = aFirstSlotIn + WaitOf(aRequest, aNow);
  aRequest.mIsLate = !aRequest.IsInTimeAt(aNow + wait);
  return aRequest.mIsLate ? aFirstSlotIn + WaitOf(aRequest, aNow) : wait;
}

queued_request*
admission_queue::FindVictim(const queued_request& aRequest) const
{
  queued_request* victim = nullptr;
  for (queued_request* request : mQueue) {
    if (victim == nullptr ||
        Expendability(*request) >= Expendability(*victim)) {
      victim = request;
    }
  }
  return victim != nullptr && IsWorthLess(*victim, aRequest) ? victim : nullptr;
}

void
admission_queue::MoveLate(instant aNow)
{
  auto next = mQueue.begin();
  while (next != mQueue.end()) {
    queued_request* request = *next;
    if (!request->mIsLate && !request->IsInTimeAt(aNow)) {
      next = mQueue.erase(next);
      request->mIsLate = true;
      mQueue.insert(request);
      continue;
    }
    const auto group = [](const queued_request& aOne) {
      return std::pair(aOne.mPriority, aOne.mIsCall);
    };
    if (group(*request) == group(**mQueue.rbegin())) {
      return;
    }
    // Further ones of this group are looked at when they come first.
    next = std::find_if(next, mQueue.end(), [&](const queued_request* aOther) {
      return group(*aOther) != group(*request);
    });
  }
}

void
admission_queue::Insert(queued_request& aRequest)
{
  mQueue.insert(&aRequest);
  mWaitingCalls += aRequest.mIsCall ? 1 : 0;
  if (!aRequest.mKey.empty()) {
    key_state& state = mKeys[aRequest.mKey];
    ++state.mWaiting;
    state.mLastRound = aRequest.mRound;
  }
}

} // namespace plantaindale
