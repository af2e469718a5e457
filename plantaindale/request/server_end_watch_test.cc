#include "plantaindale/request/server_end_watch.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using run_state = server_end_watch::run_state;

struct watch_fixture
{
  watch_fixture()
  {
    mServer.mService = "stock";
    mServer.mAddress = "127.0.0.1:8049";
    mServer.mInstance = "i-1";
    mServer.mStartedAt = 1000;
    mWatch.SetServer(mServer, mNow);
  }

  announced_server NextStart() const
  {
    announced_server next = mServer;
    next.mInstance = "i-2";
    next.mStartedAt = 2000;
    return next;
  }

  // Begins a run whose fingerprint has `aNumber`.
  server_end_watch::run_id Begin(std::uint64_t aNumber)
  {
    protocol::request_head head;
    head.target = "/items";
    head.attempt_id = "a-" + std::to_string(aNumber);
    head.fingerprint = ToBytes({ 0, aNumber });
    return mWatch.Begin(head, mNow);
  }

  // The numbers of the suspects of an end, in order.
  static std::vector<std::uint64_t> Suspects(const server_end& aEnd)
  {
    std::vector<std::uint64_t> numbers;
    for (const interrupted_run& run : aEnd.mRuns) {
      numbers.push_back(run.mFingerprint.mLow);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
  }

  using numbers = std::vector<std::uint64_t>;

  instant mNow{ std::chrono::seconds(100) };
  announced_server mServer;
  std::vector<server_end> mEnds;
  server_end_watch mWatch{ [this](server_end aEnd) {
    mEnds.push_back(std::move(aEnd));
  } };
};

BOOST_FIXTURE_TEST_SUITE(ends_of_a_server, watch_fixture)

BOOST_AUTO_TEST_SUITE(a_refused_connection_after_a_break)

BOOST_AUTO_TEST_CASE(reports_the_runs_that_broke_or_are_open)
{
  const auto completed = Begin(1);
  const auto cancelled = Begin(2);
  const auto broken = Begin(3);
  const auto open = Begin(4);
  mWatch.Finish(completed);
  mWatch.Finish(cancelled);
  mNow += milliseconds(116);
  const instant broke_at = mNow;
  mWatch.Break(broken, mNow);
  BOOST_CHECK(mWatch.StateOf(broken) == run_state::kBroken);
  mNow += milliseconds(2);
  mWatch.OnRefused(mNow);
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(Suspects(mEnds[0]) == (numbers{ 3, 4 }));
  BOOST_CHECK_EQUAL(mEnds[0].mService, "stock");
  BOOST_CHECK_EQUAL(mEnds[0].mInstance, "i-1");
  BOOST_CHECK_EQUAL(mEnds[0].mStartedAt, 1000);
  BOOST_CHECK(mEnds[0].mEndedAt == broke_at);
  BOOST_CHECK_EQUAL(mEnds[0].mRuns[0].mTarget, "/items");
  BOOST_CHECK_EQUAL(mEnds[0].mRuns[0].mRequest, "a-3");
  BOOST_CHECK(mWatch.StateOf(broken) == run_state::kServerEnded);
  BOOST_CHECK(mWatch.StateOf(open) == run_state::kServerEnded);
}

BOOST_AUTO_TEST_CASE(is_reported_once)
{
  const auto first = Begin(1);
  const auto second = Begin(2);
  mWatch.Break(first, mNow);
  mWatch.OnRefused(mNow);
  mWatch.Break(second, mNow);
  mWatch.OnRefused(mNow + milliseconds(1));
  mWatch.SetServer(NextStart(), mNow + milliseconds(2));
  BOOST_CHECK_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(mWatch.StateOf(second) == run_state::kServerEnded);
}

BOOST_AUTO_TEST_CASE(does_not_report_a_run_without_fingerprint)
{
  const auto known = Begin(1);
  const auto unknown = mWatch.Begin(protocol::request_head(), mNow);
  mWatch.Break(known, mNow);
  mWatch.Break(unknown, mNow);
  mWatch.OnRefused(mNow);
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(Suspects(mEnds[0]) == numbers{ 1 });
  BOOST_CHECK(mWatch.StateOf(unknown) == run_state::kServerEnded);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refused_connection)

BOOST_AUTO_TEST_CASE(without_a_break_is_no_end)
{
  const auto open = Begin(1);
  mWatch.OnRefused(mNow);
  BOOST_CHECK(mEnds.empty());
  BOOST_CHECK(mWatch.StateOf(open) == run_state::kRunning);
}

BOOST_AUTO_TEST_CASE(long_after_a_break_does_not_blame_the_run)
{
  const auto reset = Begin(1);
  mWatch.Break(reset, mNow);
  mNow += server_end_watch::kBreakWindow + milliseconds(1);
  mWatch.OnRefused(mNow);
  BOOST_CHECK(mEnds.empty());
}

BOOST_AUTO_TEST_CASE(of_a_server_that_leaves_is_no_crash)
{
  const auto cut_off = Begin(1);
  mServer.mIsLeaving = true;
  mWatch.SetServer(mServer, mNow);
  mWatch.Break(cut_off, mNow);
  mWatch.OnRefused(mNow);
  mWatch.SetServer(NextStart(), mNow);
  BOOST_CHECK(mEnds.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_reset_of_a_server_that_lives)

BOOST_AUTO_TEST_CASE(is_not_blamed_for_an_end_right_after)
{
  const auto reset = Begin(1);
  const auto deadly = Begin(2);
  mWatch.Break(reset, mNow);
  mWatch.OnAccepted(mNow);
  BOOST_CHECK(mWatch.StateOf(reset) == run_state::kServerLives);
  mNow += milliseconds(50);
  mWatch.Break(deadly, mNow);
  mWatch.OnRefused(mNow);
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(Suspects(mEnds[0]) == numbers{ 2 });
}

BOOST_AUTO_TEST_CASE(is_not_shown_by_a_connection_from_before)
{
  const auto broken = Begin(1);
  mWatch.Break(broken, mNow);
  mWatch.OnAccepted(mNow - milliseconds(1));
  BOOST_CHECK(mWatch.StateOf(broken) == run_state::kBroken);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(another_start_at_the_address)

BOOST_AUTO_TEST_CASE(shows_the_end_of_the_former)
{
  const auto broken = Begin(1);
  Begin(2);
  mWatch.Break(broken, mNow);
  mWatch.OnAccepted(mNow + milliseconds(10)); // by the next process
  mWatch.SetServer(NextStart(), mNow + milliseconds(50));
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(Suspects(mEnds[0]) == (numbers{ 1, 2 }));
  BOOST_CHECK_EQUAL(mEnds[0].mInstance, "i-1");
}

BOOST_AUTO_TEST_CASE(shows_it_to_a_run_that_breaks_later)
{
  const auto former = Begin(1);
  mWatch.SetServer(NextStart(), mNow);
  Begin(2); // at the next process
  mWatch.Break(former, mNow);
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK(Suspects(mEnds[0]) == numbers{ 1 });
  BOOST_CHECK_EQUAL(mEnds[0].mInstance, "i-1");
}

BOOST_AUTO_TEST_CASE(long_after_a_reset_does_not_blame_the_run)
{
  const auto reset = Begin(1);
  mWatch.Break(reset, mNow);
  mNow += server_end_watch::kBreakWindow + milliseconds(1);
  mWatch.SetServer(NextStart(), mNow);
  BOOST_CHECK(mEnds.empty());
}

BOOST_AUTO_TEST_CASE(is_needed_not_one_at_another_address)
{
  const auto broken = Begin(1);
  mWatch.Break(broken, mNow);
  announced_server elsewhere = NextStart();
  elsewhere.mAddress = "127.0.0.1:9000";
  mWatch.SetServer(elsewhere, mNow);
  mWatch.OnRefused(mNow);
  BOOST_CHECK(mEnds.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(are_watched_for_a_bounded_number_of_runs)
{
  server_end_watch::run_id last = 0;
  for (std::size_t run = 0; run <= server_end_watch::kMaxRuns; ++run) {
    last = Begin(run);
  }
  BOOST_CHECK(mWatch.StateOf(last) == run_state::kUnwatched);
  mWatch.Break(last, mNow);
  mWatch.Finish(last);
  mWatch.Break(1, mNow);
  mWatch.OnRefused(mNow);
  BOOST_REQUIRE_EQUAL(mEnds.size(), 1u);
  BOOST_CHECK_EQUAL(mEnds[0].mRuns.size(), server_end_watch::kMaxRuns);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
