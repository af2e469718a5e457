// Plays load against the admission of one backend server, in simulated time,
// and compares what each kind of caller gets with the rule before it.
#include "plantaindale/limits/admission_queue.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "plantaindale/limits/retry_after.h"
#include "plantaindale/limits/service_time_estimator.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart = instant(seconds(1000));

// A kind of request and its callers.
struct load_kind
{
  std::string mName;
  int mPriority = 0;
  double mPerSecond = 0;
  duration mRunTime{ 0 };  // mean
  duration mTarget{ 0 };   // of the caller, over all attempts
  duration mDeadline{ 0 }; // of the caller, over all attempts
  double mLateWorth = 0.5; // of an answer after the target; 1 before
  int mReturns = 1;        // after refusals
  bool mIsCall = false;
  bool mIgnoresRetryAfter = false;
  // Arrivals come between these times.
  duration mFrom{ 0 };
  duration mUntil = seconds(30);
  double mHotKeyShare = 0; // of the requests; the others have a key each
};

struct kind_result
{
  int mOffered = 0;
  int mInTime = 0;
  int mLate = 0;
  int mRefusedAgain = 0; // ended refused after a return
  double mWorth = 0;
  double mHeldSeconds = 0; // in the queue, of requests that were not run

  double Served() const
  {
    return static_cast<double>(mInTime + mLate) / std::max(mOffered, 1);
  }
  double EarnedShare() const { return mWorth / std::max(mOffered, 1); }
};

struct load_request : queued_request
{
  load_request(const admission_request& aRequest, duration aRunTime)
    : queued_request(aRequest, aRunTime)
  {
  }

  std::int64_t mNumber = 0;
  const load_kind* mKind = nullptr;
  instant mFirstSent; // of the caller's first attempt
  instant mOffered;
  int mAttempt = 0;
  duration mTakes{ 0 }; // what the run time turns out to be
  bool mIsRunning = false;
};

// What the queue of a server decides.
class admission_policy
{
public:
  struct outcome
  {
    bool mIsQueued = false;
    duration mWait{ 0 }; // until there is room for what is turned away
    load_request* mDisplaced = nullptr;
  };

  virtual ~admission_policy() = default;
  virtual outcome Offer(load_request& aRequest,
                        duration aTypical,
                        instant aNow) = 0;
  virtual void StartAtOnce(load_request&, instant) {}
  virtual load_request* TakeNext(instant aNow) = 0;
  virtual void Remove(load_request& aRequest) = 0;
  virtual duration RetryAfterOf(duration aWait,
                                duration aTimeLeft,
                                double aSpread) const = 0;
};

// The rule before: refuses when twice the expected wait, counted in requests of
// a typical time, misses the target.
class counting_policy : public admission_policy
{
public:
  explicit counting_policy(int aSlots)
    : mSlots(aSlots)
  {
  }

  outcome Offer(load_request& aRequest,
                duration aTypical,
                instant aNow) override
  {
    // The target counted from the attempt.
    aRequest.mTarget =
      std::min(aNow + aRequest.mKind->mTarget, aRequest.mDeadline);
    std::int64_t& last = mLastRounds[aRequest.mKey];
    aRequest.mRound = aRequest.mKey.empty() ? 0 : std::max(last, mRound) + 1;
    aRequest.mArrival = mArrivals++;
    const place position = PlaceOf(aRequest);
    const auto before =
      std::distance(mQueue.begin(), mQueue.lower_bound(position));
    const bool is_refused =
      static_cast<int>(mQueue.size()) >= 32 * mSlots ||
      aNow + 2 * (aTypical * before / mSlots) + aRequest.mRunTime >
        aRequest.mTarget;
    if (is_refused) {
      return {};
    }
    last = aRequest.mRound;
    mQueue.emplace(position, &aRequest);
    return { true, duration(0), nullptr };
  }

  load_request* TakeNext(instant) override
  {
    if (mQueue.empty()) {
      return nullptr;
    }
    load_request* next = mQueue.begin()->second;
    mQueue.erase(mQueue.begin());
    mRound = std::max(mRound, next->mRound);
    return next;
  }

  void Remove(load_request& aRequest) override
  {
    mQueue.erase(PlaceOf(aRequest));
  }

  duration RetryAfterOf(duration, duration, double) const override
  {
    return milliseconds(100);
  }

private:
  using place = std::tuple<int, std::int64_t, instant, std::int64_t>;

  static place PlaceOf(const load_request& aRequest)
  {
    return {
      aRequest.mPriority, aRequest.mRound, aRequest.mTarget, aRequest.mArrival
    };
  }

  int mSlots;
  std::map<place, load_request*> mQueue;
  std::map<std::string, std::int64_t> mLastRounds;
  std::int64_t mRound = 0;
  std::int64_t mArrivals = 0;
};

class queue_policy : public admission_policy
{
public:
  explicit queue_policy(int aSlots)
    : mSlots(aSlots)
  {
    mQueue.SetSlots(aSlots);
  }

  outcome Offer(load_request& aRequest,
                duration aTypical,
                instant aNow) override
  {
    const admission_decision decision =
      mQueue.Offer(aRequest, aTypical / mSlots, aNow);
    outcome made;
    made.mIsQueued = !decision.mRefusal;
    made.mDisplaced = static_cast<load_request*>(decision.mDisplaced);
    made.mWait = decision.mExpectedWait;
    if (made.mDisplaced != nullptr) {
      made.mWait = mQueue.Backlog();
    }
    return made;
  }

  void StartAtOnce(load_request& aRequest, instant aNow) override
  {
    mQueue.StartAtOnce(aRequest.mPriority, aRequest.mRunTime, aNow);
  }

  load_request* TakeNext(instant aNow) override
  {
    queued_request* next = mQueue.Next(aNow);
    if (next != nullptr) {
      mQueue.Start(*next);
    }
    return static_cast<load_request*>(next);
  }

  void Remove(load_request& aRequest) override { mQueue.Remove(aRequest); }

  duration RetryAfterOf(duration aWait,
                        duration aTimeLeft,
                        double aSpread) const override
  {
    return RetryAfter(aWait, aTimeLeft, aSpread);
  }

private:
  int mSlots;
  admission_queue mQueue;
};

// An event loop of arrivals, ends of runs and requests that wait too long.
class load_play
{
public:
  load_play(admission_policy& aPolicy, int aSlots, unsigned aSeed)
    : mPolicy(aPolicy)
    , mSlots(aSlots)
    , mRandom(aSeed)
  {
  }

  std::map<std::string, kind_result> Run(const std::vector<load_kind>& aKinds)
  {
    for (const load_kind& kind : aKinds) {
      for (duration at = kind.mFrom + Gap(kind); at < kind.mUntil;
           at += Gap(kind)) {
        At(kStart + at, [this, &kind] { Send(kind, KeyOf(kind), mNow, 0); });
      }
    }
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
    }
    return mResults;
  }

private:
  struct event
  {
    instant mAt;
    std::int64_t mNumber;
    std::function<void()> mDo;
    bool operator<(const event& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };

  void At(instant aAt, std::function<void()> aDo)
  {
    mEvents.push({ aAt, mNextEvent++, std::move(aDo) });
  }

  duration Gap(const load_kind& aKind)
  {
    std::exponential_distribution<double> gap(aKind.mPerSecond);
    return duration(static_cast<std::int64_t>(gap(mRandom) * 1e6));
  }

  std::string KeyOf(const load_kind& aKind)
  {
    std::uniform_real_distribution<double> part(0, 1);
    if (aKind.mHotKeyShare == 0) {
      return "";
    }
    return part(mRandom) < aKind.mHotKeyShare ? "hot"
                                              : std::to_string(mNextEvent);
  }

  void Send(const load_kind& aKind,
            const std::string& aKey,
            instant aFirstSent,
            int aAttempt)
  {
    mResults[aKind.mName].mOffered += aAttempt == 0 ? 1 : 0;
    const admission_request admission{ aKey,
                                       aKind.mName,
                                       aKind.mPriority,
                                       aFirstSent + aKind.mTarget,
                                       aFirstSent + aKind.mDeadline,
                                       aKind.mIsCall };
    auto owned =
      std::make_unique<load_request>(admission, mTimes.ForRoute(aKind.mName));
    load_request& request = *owned;
    request.mNumber = mNextRequest++;
    request.mKind = &aKind;
    request.mFirstSent = aFirstSent;
    request.mOffered = mNow;
    request.mAttempt = aAttempt;
    // Lognormal around the mean.
    std::lognormal_distribution<double> factor(-0.18, 0.6);
    request.mTakes = duration(static_cast<std::int64_t>(
      static_cast<double>(aKind.mRunTime.count()) * factor(mRandom)));
    mRequests[request.mNumber] = std::move(owned);
    if (mRunning < mSlots) {
      mPolicy.StartAtOnce(request, mNow);
      Begin(request);
      return;
    }
    const auto outcome = mPolicy.Offer(request, mTimes.Overall(), mNow);
    if (outcome.mDisplaced != nullptr) {
      TurnAway(*outcome.mDisplaced, outcome.mWait);
    }
    if (!outcome.mIsQueued) {
      TurnAway(request, outcome.mWait);
      return;
    }
    At(request.LatestStart(),
       [this, number = request.mNumber] { Expire(number); });
  }

  void Expire(std::int64_t aNumber)
  {
    const auto found = mRequests.find(aNumber);
    if (found != mRequests.end() && !found->second->mIsRunning) {
      mPolicy.Remove(*found->second);
      TurnAway(*found->second, duration(0));
    }
  }

  void Begin(load_request& aRequest)
  {
    ++mRunning;
    aRequest.mIsRunning = true;
    At(mNow + aRequest.mTakes, [this, done = &aRequest] { End(*done); });
  }

  void End(load_request& aRequest)
  {
    --mRunning;
    const load_kind& kind = *aRequest.mKind;
    mTimes.Add(kind.mName, aRequest.mTakes);
    kind_result& result = mResults[kind.mName];
    // The target counts from the caller's first attempt.
    if (mNow <= aRequest.mFirstSent + kind.mTarget) {
      ++result.mInTime;
      result.mWorth += 1;
    } else if (mNow <= aRequest.mDeadline) {
      ++result.mLate;
      result.mWorth += kind.mLateWorth;
    }
    mRequests.erase(aRequest.mNumber);
    while (mRunning < mSlots) {
      load_request* next = mPolicy.TakeNext(mNow);
      if (next == nullptr) {
        break;
      }
      if (mNow > next->LatestStart()) {
        TurnAway(*next, duration(0));
      } else {
        Begin(*next);
      }
    }
  }

  void TurnAway(load_request& aRequest, duration aWait)
  {
    const load_kind& kind = *aRequest.mKind;
    kind_result& result = mResults[kind.mName];
    result.mHeldSeconds +=
      std::chrono::duration<double>(mNow - aRequest.mOffered).count();
    const instant gives_up = aRequest.mFirstSent + kind.mDeadline;
    std::uniform_real_distribution<double> spread(0, 1);
    const duration wait =
      kind.mIgnoresRetryAfter
        ? duration(milliseconds(20))
        : mPolicy.RetryAfterOf(aWait, gives_up - mNow, spread(mRandom));
    const bool returns =
      aRequest.mAttempt < kind.mReturns && mNow + wait < gives_up;
    if (returns) {
      At(
        mNow + wait,
        [this,
         &kind,
         key = aRequest.mKey,
         first = aRequest.mFirstSent,
         attempt = aRequest.mAttempt + 1] { Send(kind, key, first, attempt); });
    } else {
      result.mRefusedAgain += aRequest.mAttempt > 0 ? 1 : 0;
    }
    mRequests.erase(aRequest.mNumber);
  }

  admission_policy& mPolicy;
  int mSlots;
  std::mt19937_64 mRandom;
  service_time_estimator mTimes;
  instant mNow = kStart;
  int mRunning = 0;
  std::priority_queue<event> mEvents;
  std::int64_t mNextEvent = 0;
  std::map<std::int64_t, std::unique_ptr<load_request>> mRequests;
  std::int64_t mNextRequest = 0;
  std::map<std::string, kind_result> mResults;
};

using results = std::map<std::string, kind_result>;

// The sum over several draws of the load.
template<class policy_type>
results
Play(const std::vector<load_kind>& aKinds, int aSlots)
{
  constexpr unsigned kDraws = 24;
  results sums;
  for (unsigned seed = 1; seed <= kDraws; ++seed) {
    policy_type policy(aSlots);
    for (const auto& [name, result] :
         load_play(policy, aSlots, seed).Run(aKinds)) {
      kind_result& sum = sums[name];
      sum.mOffered += result.mOffered;
      sum.mInTime += result.mInTime;
      sum.mLate += result.mLate;
      sum.mRefusedAgain += result.mRefusedAgain;
      sum.mWorth += result.mWorth;
      sum.mHeldSeconds += result.mHeldSeconds;
    }
  }
  return sums;
}

struct comparison
{
  comparison(const std::vector<load_kind>& aKinds, int aSlots)
    : mKinds(aKinds)
    , mBefore(Play<counting_policy>(aKinds, aSlots))
    , mNow(Play<queue_policy>(aKinds, aSlots))
  {
    for (const load_kind& kind : mKinds) {
      const kind_result& before = mBefore[kind.mName];
      const kind_result& now = mNow[kind.mName];
      BOOST_TEST_MESSAGE(
        kind.mName << " of " << now.mOffered << " before: in time "
                   << before.mInTime << " late " << before.mLate
                   << " refused again " << before.mRefusedAgain
                   << "; now: in time " << now.mInTime << " late " << now.mLate
                   << " refused again " << now.mRefusedAgain);
    }
  }

  // What holds under any load.
  void CheckOrder()
  {
    for (const load_kind& urgent : mKinds) {
      for (const load_kind& other : mKinds) {
        if (urgent.mPriority < other.mPriority) {
          BOOST_CHECK_GE(mNow[urgent.mName].Served(),
                         mNow[other.mName].Served() - 0.05);
        }
      }
    }
  }
  static double Worth(const results& aResults)
  {
    double worth = 0;
    for (const auto& [name, result] : aResults) {
      worth += result.mWorth;
    }
    return worth;
  }
  static int RefusedAgain(const results& aResults)
  {
    int refused = 0;
    for (const auto& [name, result] : aResults) {
      refused += result.mRefusedAgain;
    }
    return refused;
  }

  std::vector<load_kind> mKinds;
  results mBefore;
  results mNow;
};

load_kind
Orders(double aPerSecond)
{
  return {
    "order",           1, aPerSecond, milliseconds(250), milliseconds(1000),
    milliseconds(2500)
  };
}

load_kind
Browses(double aPerSecond)
{
  return { "browse",          2,
           aPerSecond,        milliseconds(190),
           milliseconds(800), milliseconds(2000) };
}

load_kind
Archives(double aPerSecond)
{
  return { "archive",          2,
           aPerSecond,         milliseconds(150),
           milliseconds(1000), milliseconds(2500) };
}

// Calls of another server's requests; nobody repeats them.
load_kind
StockChecks(double aPerSecond)
{
  return { "stock-check",
           3,
           aPerSecond,
           milliseconds(55),
           milliseconds(200),
           milliseconds(600),
           1,
           0,
           true };
}

BOOST_AUTO_TEST_SUITE(admission_load)

BOOST_AUTO_TEST_SUITE(a_mix_of_short_and_long_work)

BOOST_AUTO_TEST_CASE(short_calls_use_the_slack_of_more_urgent_long_work)
{
  comparison result({ Archives(9.3), StockChecks(82) }, 6);
  result.CheckOrder();
  BOOST_CHECK_GE(result.mNow["stock-check"].Served(), 0.95);
  BOOST_CHECK_LE(result.mBefore["stock-check"].Served(),
                 result.mNow["stock-check"].Served() - 0.05);
  BOOST_CHECK_GE(result.mNow["archive"].EarnedShare(), 0.98);
}

BOOST_AUTO_TEST_CASE(with_too_little_room_the_long_work_still_ends_in_time)
{
  comparison result({ Archives(12), StockChecks(107) }, 6);
  result.CheckOrder();
  BOOST_CHECK_GE(result.mNow["archive"].EarnedShare(), 0.95);
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_burst_of_the_least_urgent_kind)

BOOST_AUTO_TEST_CASE(leaves_the_more_urgent_kinds_as_they_were)
{
  load_kind burst{ "report",          5,          80,
                   milliseconds(200), seconds(2), milliseconds(5000) };
  burst.mFrom = seconds(5);
  burst.mUntil = seconds(12);
  comparison result({ Orders(7), Browses(15), burst }, 6);
  result.CheckOrder();
  BOOST_CHECK_GE(result.mNow["order"].EarnedShare(), 0.95);
  BOOST_CHECK_GE(result.mNow["browse"].EarnedShare(),
                 result.mBefore["browse"].EarnedShare() - 0.01);
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
  BOOST_CHECK_LE(result.RefusedAgain(result.mNow),
                 result.RefusedAgain(result.mBefore));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(too_little_room)

BOOST_AUTO_TEST_CASE(for_minutes_serves_more_in_time)
{
  load_kind orders = Orders(11);
  load_kind browses = Browses(28);
  orders.mUntil = browses.mUntil = std::chrono::minutes(2);
  comparison result({ orders, browses }, 6);
  result.CheckOrder();
  BOOST_CHECK_GE(result.mNow["order"].EarnedShare(), 0.95);
  BOOST_CHECK_GT(result.mNow["browse"].mInTime,
                 result.mBefore["browse"].mInTime);
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
}

BOOST_AUTO_TEST_CASE(at_times_serves_more_of_those_that_return)
{
  comparison result({ Orders(8), Browses(20) }, 6);
  result.CheckOrder();
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
  BOOST_CHECK_LT(result.RefusedAgain(result.mNow),
                 result.RefusedAgain(result.mBefore));
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_little_worth_goes_behind_those_in_time)
{
  const load_kind standings{
    "standings",       0,          59,   milliseconds(180),
    milliseconds(500), seconds(4), 0.17, 2
  };
  comparison result({ standings }, 12);
  BOOST_CHECK_GE(result.mNow["standings"].Served(), 0.99);
  BOOST_CHECK_LE(2 * result.RefusedAgain(result.mNow),
                 result.RefusedAgain(result.mBefore));
}

BOOST_AUTO_TEST_CASE(is_not_made_worse_by_callers_that_ignore_retry_after)
{
  load_kind browses = Browses(30);
  browses.mIgnoresRetryAfter = true;
  browses.mReturns = 4;
  comparison result({ Orders(8), browses }, 6);
  result.CheckOrder();
  BOOST_CHECK_GE(result.mNow["order"].EarnedShare(), 0.95);
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_hot_key)

BOOST_AUTO_TEST_CASE(does_not_take_the_server_from_the_others)
{
  load_kind browses = Browses(22);
  browses.mHotKeyShare = 0.4;
  comparison result({ Orders(6), browses }, 6);
  result.CheckOrder();
  BOOST_CHECK_GT(result.Worth(result.mNow), result.Worth(result.mBefore));
  BOOST_CHECK_LT(result.RefusedAgain(result.mNow),
                 result.RefusedAgain(result.mBefore));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
