#include "plantaindale/limits/call_admission.h"

#include <deque>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds(100) };

bool
Passes(call_admission& aAdmission,
       int aPriority,
       double aCalls,
       instant aNow,
       std::string_view aService = "stock")
{
  const expected_call call{ std::string(aService), aCalls };
  return !aAdmission.FindShortage({ aPriority, std::span(&call, 1) }, aNow);
}

// Passes of `aCount` runs that come each 10 ms.
int
CountPasses(call_admission& aAdmission,
            int aPriority,
            double aCalls,
            int aCount,
            instant& aNow)
{
  int passes = 0;
  for (int i = 0; i < aCount; ++i) {
    passes += Passes(aAdmission, aPriority, aCalls, aNow) ? 1 : 0;
    aNow += milliseconds(10);
  }
  return passes;
}

void
EndCalls(call_admission& aAdmission, call_end aEnd, int aCount, instant& aNow)
{
  for (int i = 0; i < aCount; ++i) {
    aAdmission.OnCallEnd("stock", aEnd, aNow);
    aNow += milliseconds(50);
  }
}

// Nodes whose servers' runs call one service after half of their time. The
// service has slots and a short queue, and refuses what doesn't fit.
class called_service_load
{
public:
  struct counts
  {
    int mRuns = 0;
    int mRefused = 0; // before they ran
    int mServed = 0;
    int mWasted = 0; // ran, and failed with their call
    int mOrdersRefused = 0;
  };

  static constexpr int kNodes = 8;
  static constexpr double kRunsPerSecond = 12; // at each node
  static constexpr double kOrdersPerSecond = 4;

  explicit called_service_load(bool aDecides)
    : mDecides(aDecides)
    , mNodes(kNodes)
  {
  }

  counts Run(int aSlots, duration aTime)
  {
    mCounts = {};
    for (const instant until = mNow + aTime; mNow < until;
         mNow += milliseconds(1)) {
      ServeCalls(aSlots);
      for (int node = 0; node < kNodes; ++node) {
        Arrive(node);
      }
      while (!mCalls.empty() && mCalls.front().mAt <= mNow) {
        Call(mCalls.front().mNode, aSlots);
        mCalls.pop_front();
      }
    }
    return mCounts;
  }

private:
  struct call
  {
    instant mAt;
    int mNode;
  };

  bool Happens(double aPerSecond)
  {
    return std::uniform_real_distribution<double>(0, 1000)(mRandom) <
           aPerSecond;
  }
  void Arrive(int aNode)
  {
    call_admission& admission = mNodes[static_cast<std::size_t>(aNode)];
    if (Happens(kRunsPerSecond)) {
      ++mCounts.mRuns;
      if (!mDecides || Passes(admission, 1, 1, mNow)) {
        mCalls.push_back({ mNow + milliseconds(100), aNode });
      } else {
        ++mCounts.mRefused;
      }
    }
    if (Happens(kOrdersPerSecond) && !Passes(admission, 0, 0, mNow)) {
      ++mCounts.mOrdersRefused;
    }
  }
  void Call(int aNode, int aSlots)
  {
    constexpr int kQueuePerSlot = 1;
    const bool is_full =
      static_cast<int>(mAtService.size()) >= aSlots * (1 + kQueuePerSlot);
    if (is_full) {
      ++mCounts.mWasted;
      mNodes[static_cast<std::size_t>(aNode)].OnCallEnd(
        "stock", call_end::kRefused, mNow);
    } else {
      mAtService.push_back({ instant::max(), aNode });
    }
  }
  void ServeCalls(int aSlots)
  {
    for (std::size_t i = 0; i < mAtService.size();) {
      call& each = mAtService[i];
      const bool has_begun = each.mAt != instant::max();
      if (!has_begun && i < static_cast<std::size_t>(aSlots)) {
        each.mAt = mNow + milliseconds(50);
      }
      if (each.mAt > mNow) {
        ++i;
        continue;
      }
      ++mCounts.mServed;
      const bool had_room =
        mAtService.size() <= static_cast<std::size_t>(aSlots);
      mNodes[static_cast<std::size_t>(each.mNode)].OnCallEnd(
        "stock", had_room ? call_end::kHadRoom : call_end::kServed, mNow);
      mAtService.erase(mAtService.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }

  bool mDecides;
  std::vector<call_admission> mNodes;
  std::deque<call> mCalls;
  std::deque<call> mAtService;
  counts mCounts;
  std::mt19937 mRandom{ 3 };
  instant mNow = kStart;
};

BOOST_AUTO_TEST_SUITE(calls_of_admitted_runs)

BOOST_AUTO_TEST_SUITE(while_the_called_service_has_room)

BOOST_AUTO_TEST_CASE(all_runs_pass)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kServed, 100, now);
  EndCalls(admission, call_end::kHadRoom, 100, now);
  BOOST_CHECK_EQUAL(CountPasses(admission, 7, 2, 200, now), 200);
  BOOST_CHECK_EQUAL(admission.ShareOf("stock"), 1);
}

BOOST_AUTO_TEST_CASE(failures_that_tell_nothing_of_room_change_nothing)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kOther, 100, now);
  BOOST_CHECK_EQUAL(CountPasses(admission, 7, 2, 200, now), 200);
}

BOOST_AUTO_TEST_CASE(refusals_of_single_servers_change_nothing)
{
  call_admission admission;
  instant now = kStart;
  for (int i = 0; i < 50; ++i) {
    EndCalls(admission, call_end::kHadRoom, 2, now);
    EndCalls(admission, call_end::kRefused, 1, now);
  }
  BOOST_CHECK_EQUAL(CountPasses(admission, 7, 2, 200, now), 200);
}

BOOST_AUTO_TEST_CASE(a_load_below_its_room_is_not_refused)
{
  called_service_load load(true);
  const auto counts = load.Run(12, seconds(20));
  BOOST_CHECK_EQUAL(counts.mRefused, 0);
  BOOST_CHECK_EQUAL(counts.mWasted, 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_called_service_refuses)

BOOST_AUTO_TEST_CASE(runs_are_refused_with_the_evidence)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 20, now);
  const expected_call call{ "stock", 1 };
  std::optional<call_shortage> shortage;
  for (int i = 0; i < 10 && !shortage; ++i) {
    shortage = admission.FindShortage({ 1, std::span(&call, 1) }, now);
  }
  BOOST_REQUIRE(shortage);
  BOOST_CHECK_EQUAL(shortage->mService, "stock");
  BOOST_CHECK_LT(shortage->mShare, 0.5);
  BOOST_CHECK_EQUAL(shortage->mRefusedShare, 1);
  BOOST_CHECK(shortage->mSeenAt == now - milliseconds(50));
  BOOST_CHECK(shortage->mRoomIn >= milliseconds(400));
  BOOST_CHECK(shortage->mRoomIn <= seconds(2));
}

BOOST_AUTO_TEST_CASE(runs_without_calls_to_it_pass)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 100, now);
  for (int i = 0; i < 100; ++i) {
    BOOST_CHECK(Passes(admission, 7, 0, now));
    BOOST_CHECK(Passes(admission, 7, 0.1, now));
    BOOST_CHECK(Passes(admission, 7, 2, now, "prices"));
    BOOST_CHECK(!admission.FindShortage({ 7, {} }, now));
  }
}

BOOST_AUTO_TEST_CASE(the_least_urgent_are_refused_first)
{
  call_admission admission;
  instant now = kStart;
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < 400; ++i) {
    const bool is_refused = admission.ShareOf("stock") > 0.6 && i % 2 == 0;
    admission.OnCallEnd(
      "stock", is_refused ? call_end::kRefused : call_end::kServed, now);
    const bool urgent_passes = Passes(admission, 1, 1, now);
    const bool other_passes = Passes(admission, 2, 1, now);
    if (i >= 360) {
      urgent += urgent_passes ? 1 : 0;
      other += other_passes ? 1 : 0;
    }
    now += milliseconds(50);
  }
  BOOST_CHECK_GE(urgent, 38);
  BOOST_CHECK_LE(other, 25);
}

BOOST_AUTO_TEST_CASE(runs_with_few_calls_pass_rather_than_those_with_many)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 20, now);
  int few = 0;
  int many = 0;
  for (int i = 0; i < 200; ++i) {
    few += Passes(admission, 1, 0.3, now) ? 1 : 0;
    many += Passes(admission, 1, 3, now) ? 1 : 0;
    now += milliseconds(10);
  }
  BOOST_CHECK_GT(few, 2 * many);
}

BOOST_AUTO_TEST_CASE(some_runs_pass_to_find_room)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 200, now);
  const int passes = CountPasses(admission, 3, 1, 400, now);
  BOOST_CHECK_GE(passes, 8); // in 4 s
  BOOST_CHECK_LE(passes, 80);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_there_is_room_again)

BOOST_AUTO_TEST_CASE(all_runs_pass_soon)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 100, now);
  int rounds = 0;
  while (admission.ShareOf("stock") < 1 && rounds < 100) {
    EndCalls(admission, call_end::kHadRoom, 6, now);
    ++rounds;
  }
  BOOST_CHECK_LE(rounds, 10);
  BOOST_CHECK_EQUAL(CountPasses(admission, 7, 1, 100, now), 100);
}

BOOST_AUTO_TEST_CASE(old_evidence_counts_for_nothing)
{
  call_admission admission;
  instant now = kStart;
  EndCalls(admission, call_end::kRefused, 100, now);
  now += seconds(6);
  BOOST_CHECK_EQUAL(CountPasses(admission, 7, 1, 100, now), 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_a_load_of_twice_its_room)

// 96 calls a second need 4.8 slots.
constexpr int kHalfTheSlots = 2;

BOOST_AUTO_TEST_CASE(few_runs_are_wasted_and_as_many_served)
{
  called_service_load without(false);
  called_service_load with(true);
  const auto before = without.Run(kHalfTheSlots, seconds(30));
  const auto after = with.Run(kHalfTheSlots, seconds(30));
  BOOST_TEST_MESSAGE("wasted " << before.mWasted << " and " << after.mWasted
                               << ", served " << before.mServed << " and "
                               << after.mServed << ", refused "
                               << after.mRefused);
  BOOST_CHECK_GT(before.mWasted, before.mRuns / 2);
  BOOST_CHECK_LT(after.mWasted, before.mWasted / 4);
  BOOST_CHECK_GT(after.mServed, before.mServed * 85 / 100);
  BOOST_CHECK_EQUAL(after.mOrdersRefused, 0);
}

BOOST_AUTO_TEST_CASE(refusing_ends_soon_after_room_is_back)
{
  called_service_load load(true);
  load.Run(kHalfTheSlots, seconds(10));
  const auto first = load.Run(12, seconds(2));
  const auto then = load.Run(12, seconds(2));
  const auto last = load.Run(12, seconds(4));
  BOOST_TEST_MESSAGE("refused " << first.mRefused << " of " << first.mRuns
                                << ", " << then.mRefused << " of " << then.mRuns
                                << ", " << last.mRefused);
  BOOST_CHECK_LT(first.mRefused, first.mRuns / 2);
  BOOST_CHECK_LT(then.mRefused, then.mRuns / 10);
  BOOST_CHECK_EQUAL(last.mRefused, 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
