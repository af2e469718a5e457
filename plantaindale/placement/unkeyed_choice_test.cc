#include "plantaindale/placement/unkeyed_choice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds(100) };

// A server whose node has just reported its room.
unkeyed_candidate
Reported(int aOutstanding, milliseconds aRun, double aSlowness = 1)
{
  unkeyed_candidate candidate;
  candidate.mSlots = 12;
  candidate.mReportedOutstanding = aOutstanding;
  candidate.mReportedAt = kStart;
  candidate.mRoom = {
    .mSlots = 12, .mSlowness = aSlowness, .mRun = aRun, .mMeasuredAt = kStart
  };
  return candidate;
}

// By the part of slots in use alone.
std::size_t
LeastUsed(std::span<const unkeyed_candidate> aCandidates, instant aNow)
{
  const auto cost = [&](const unkeyed_candidate& aCandidate) {
    const bool is_fresh = aNow < aCandidate.mReportedAt + milliseconds(400);
    const int outstanding = std::max(
      aCandidate.mInFlight, is_fresh ? aCandidate.mReportedOutstanding : 0);
    return static_cast<double>(outstanding + 1) / aCandidate.mSlots +
           (aCandidate.mIsRemoteDomain ? 0.7 : 0);
  };
  const auto least = std::min_element(
    aCandidates.begin(),
    aCandidates.end(),
    [&](const auto& aA, const auto& aB) { return cost(aA) < cost(aB); });
  return static_cast<std::size_t>(least - aCandidates.begin());
}

BOOST_AUTO_TEST_SUITE(choosing_a_server_without_a_key)

BOOST_AUTO_TEST_SUITE(of_unknown_room)

BOOST_AUTO_TEST_CASE(goes_by_the_part_of_slots_in_use_alone)
{
  std::mt19937_64 random(1);
  const auto draw = [&](int aMost) {
    return static_cast<int>(random() % static_cast<unsigned>(aMost + 1));
  };
  for (int round = 0; round < 2000; ++round) {
    std::vector<unkeyed_candidate> candidates;
    for (int i = 0; i < 8; ++i) {
      unkeyed_candidate candidate;
      candidate.mSlots = 1 + draw(15);
      candidate.mInFlight = draw(12);
      candidate.mReportedOutstanding = draw(20);
      candidate.mSentSinceReport = draw(5);
      candidate.mReportedAt = kStart - milliseconds(draw(800));
      candidate.mIsRemoteDomain = draw(1) == 1;
      candidates.push_back(candidate);
    }
    BOOST_CHECK_EQUAL(ChooseUnkeyed(candidates, kStart),
                      LeastUsed(candidates, kStart));
  }
}

BOOST_AUTO_TEST_CASE(is_as_good_as_a_usual_server)
{
  unkeyed_candidate unknown;
  unknown.mSlots = 12;
  const std::vector<unkeyed_candidate> slow{ Reported(0, milliseconds(300)),
                                             unknown,
                                             Reported(0, milliseconds(250)) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(slow, kStart), 2u);
  const std::vector<unkeyed_candidate> mixed{ Reported(4, milliseconds(300)),
                                              unknown,
                                              Reported(9, milliseconds(100)) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(mixed, kStart), 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_known_room)

BOOST_AUTO_TEST_CASE(prefers_the_faster_of_two_free_servers)
{
  const std::vector<unkeyed_candidate> both{ Reported(1, milliseconds(460)),
                                             Reported(2, milliseconds(150)) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 1u);
}

BOOST_AUTO_TEST_CASE(prefers_a_slower_server_to_a_long_queue)
{
  const std::vector<unkeyed_candidate> both{ Reported(1, milliseconds(230)),
                                             Reported(30, milliseconds(150)) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 0u);
}

BOOST_AUTO_TEST_CASE(avoids_a_machine_in_a_slow_moment_only_while_it_is_news)
{
  std::vector<unkeyed_candidate> both{ Reported(4, milliseconds(200)),
                                       Reported(2, milliseconds(200), 3) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 0u);
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart + milliseconds(400)), 1u);
}

BOOST_AUTO_TEST_CASE(an_old_report_does_not_make_a_server_free)
{
  std::vector<unkeyed_candidate> both{ Reported(2, milliseconds(200)),
                                       Reported(12, milliseconds(200)) };
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart + seconds(1)), 0u);
}

BOOST_AUTO_TEST_CASE(counts_what_was_sent_since_the_report)
{
  std::vector<unkeyed_candidate> both{ Reported(2, milliseconds(200)),
                                       Reported(2, milliseconds(200)) };
  both.front().mInFlight = 1;
  both.front().mSentSinceReport = 1;
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 1u);
}

BOOST_AUTO_TEST_CASE(counts_the_pace_of_a_server_that_takes_few_requests)
{
  std::vector<unkeyed_candidate> both{ Reported(1, milliseconds(200)),
                                       Reported(8, milliseconds(200)) };
  both.front().mRoom.mStartsPerSecond = 13;
  both.front().mRoom.mWaiting = 4;
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 1u);
}

BOOST_AUTO_TEST_CASE(leaves_the_failure_domain_only_for_a_much_earlier_answer)
{
  std::vector<unkeyed_candidate> both{ Reported(3, milliseconds(230)),
                                       Reported(0, milliseconds(150)) };
  both.back().mIsRemoteDomain = true;
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 0u);
  both.front().mReportedOutstanding = 16;
  BOOST_CHECK_EQUAL(ChooseUnkeyed(both, kStart), 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// Nodes of one failure domain send requests to its servers and learn of a
// server's load only from its answers.
class load_play
{
public:
  static constexpr int kSlots = 12;
  using choice = std::size_t (*)(std::span<const unkeyed_candidate>, instant);

  explicit load_play(choice aChoose)
    : mChoose(aChoose)
    , mServers(10)
    , mKnown(27, std::vector<unkeyed_candidate>(mServers.size()))
  {
    constexpr std::array<double, 4> kSpeeds{ 0.5, 1, 1, 1.5 };
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mServers[i].mSpeed = kSpeeds[i % kSpeeds.size()];
    }
    for (auto& known : mKnown) {
      for (unkeyed_candidate& candidate : known) {
        candidate.mSlots = kSlots;
      }
    }
  }

  // Plays 320 requests a second for 12 s, and twice as many from 5 to 8 s.
  // Returns the times that they took.
  std::vector<double> Run()
  {
    std::exponential_distribution<double> pause(1);
    for (double now = 0; now < 12;) {
      now += pause(mRandom) / (now >= 5 && now < 8 ? 640 : 320);
      FinishUntil(now);
      Arrive(now);
    }
    FinishUntil(1000);
    return mTimes;
  }

private:
  struct job
  {
    double mArrived = 0;
    double mWork = 0;
    std::size_t mNode = 0;
  };
  struct server
  {
    double mSpeed = 1;
    int mRunning = 0;
    std::deque<job> mQueue;
  };
  struct finish
  {
    double mAt = 0;
    std::size_t mServer = 0;
    job mJob;
    bool operator>(const finish& aOther) const { return mAt > aOther.mAt; }
  };

  static instant At(double aSeconds)
  {
    return kStart + duration(static_cast<std::int64_t>(aSeconds * 1'000'000));
  }

  // Each machine is three times slower in a fifth of the spans of 400 ms.
  static double Slowness(std::size_t aServer, double aNow)
  {
    std::mt19937_64 random(aServer * 10'000 +
                           static_cast<std::size_t>(aNow / 0.4));
    return random() % 5 == 0 ? 3 : 1;
  }

  void Arrive(double aNow)
  {
    const job arrived{ aNow,
                       mRandom() % 5 < 2 ? 0.23 : 0.045,
                       mRandom() % mKnown.size() };
    std::vector<unkeyed_candidate>& known = mKnown[arrived.mNode];
    std::vector<std::size_t> order(known.size());
    std::iota(order.begin(), order.end(), std::size_t{ 0 });
    std::shuffle(order.begin(), order.end(), mRandom);
    std::vector<unkeyed_candidate> shuffled;
    for (const std::size_t index : order) {
      shuffled.push_back(known[index]);
    }
    const std::size_t chosen = order[mChoose(shuffled, At(aNow))];
    ++known[chosen].mInFlight;
    ++known[chosen].mSentSinceReport;
    server& at = mServers[chosen];
    if (at.mRunning < kSlots) {
      Begin(chosen, arrived, aNow);
    } else {
      at.mQueue.push_back(arrived);
    }
  }

  void Begin(std::size_t aServer, const job& aJob, double aNow)
  {
    server& at = mServers[aServer];
    ++at.mRunning;
    const double run = aJob.mWork / at.mSpeed * Slowness(aServer, aNow);
    mFinishes.push({ aNow + run, aServer, aJob });
  }

  void FinishUntil(double aNow)
  {
    while (!mFinishes.empty() && mFinishes.top().mAt <= aNow) {
      const finish next = mFinishes.top();
      mFinishes.pop();
      server& at = mServers[next.mServer];
      --at.mRunning;
      if (!at.mQueue.empty()) {
        const job queued = at.mQueue.front();
        at.mQueue.pop_front();
        Begin(next.mServer, queued, next.mAt);
      }
      mTimes.push_back(next.mAt - next.mJob.mArrived);
      Report(next);
    }
  }

  void Report(const finish& aFinish)
  {
    const server& at = mServers[aFinish.mServer];
    unkeyed_candidate& known = mKnown[aFinish.mJob.mNode][aFinish.mServer];
    --known.mInFlight;
    known.mSentSinceReport = 0;
    known.mReportedAt = At(aFinish.mAt);
    known.mReportedOutstanding =
      at.mRunning + static_cast<int>(at.mQueue.size());
    known.mRoom = { .mSlots = kSlots,
                    .mRunning = at.mRunning,
                    .mWaiting = static_cast<int>(at.mQueue.size()),
                    .mSlowness = Slowness(aFinish.mServer, aFinish.mAt) / 1.4,
                    .mRun = milliseconds(static_cast<int>(140 / at.mSpeed)),
                    .mMeasuredAt = known.mReportedAt };
  }

  choice mChoose;
  std::mt19937_64 mRandom{ 7 };
  std::vector<server> mServers;
  std::vector<std::vector<unkeyed_candidate>> mKnown; // by node and server
  std::priority_queue<finish, std::vector<finish>, std::greater<>> mFinishes;
  std::vector<double> mTimes;
};

// Servers of speed 0.5 to 1.5, slow moments, old reports and a burst.
BOOST_AUTO_TEST_CASE(half_as_many_answers_take_over_800_ms_under_uneven_load)
{
  const auto count_late = [](load_play::choice aChoose) {
    const std::vector<double> times = load_play(aChoose).Run();
    return std::count_if(
      times.begin(), times.end(), [](double aTime) { return aTime > 0.8; });
  };
  const auto by_use = count_late(LeastUsed);
  const auto by_time = count_late(ChooseUnkeyed);
  BOOST_TEST_MESSAGE("late by use: " << by_use << ", by time: " << by_time);
  BOOST_CHECK(2 * by_time < by_use);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
