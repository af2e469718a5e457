#include "plantaindale/limits/server_limiter.h"

#include <string>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kFar = boot_clock::now() + std::chrono::hours(1);

// A limiter whose one slot is taken, and a note of who gets the next turns.
struct busy_limiter
{
  busy_limiter()
  {
    mLimiter.SetSlots(1);
    mHeld.push_back(*mLimiter.Acquire({ "first", "", 0, kFar, kFar }));
  }

  // A request of the key joins the queue.
  void Queue(const std::string& aKey)
  {
    Queue({ aKey, "", 0, kFar, kFar }, aKey);
  }
  // `aName` is noted when it gets its turn.
  void Queue(const admission& aRequest, const std::string& aName)
  {
    mWaiting.emplace_back([this, aRequest, aName] {
      auto turn = mLimiter.Acquire(aRequest);
      mOrder += turn.ok() ? aName : "!";
    });
    boost::this_fiber::yield();
  }

  // Ends the held turn, and waits until the queue is served.
  std::string Drain()
  {
    mHeld.clear();
    for (boost::fibers::fiber& waiting : mWaiting) {
      waiting.join();
    }
    return mOrder;
  }

  server_limiter mLimiter;
  std::vector<server_limiter::turn> mHeld;
  std::vector<boost::fibers::fiber> mWaiting;
  std::string mOrder;
};

BOOST_AUTO_TEST_SUITE(the_limits_of_a_backend_server)

BOOST_AUTO_TEST_CASE(let_no_more_run_than_there_are_slots)
{
  busy_limiter busy;
  busy.Queue("a");
  BOOST_CHECK_EQUAL(busy.mLimiter.Running(), 1);
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 1);
  BOOST_CHECK_EQUAL(busy.Drain(), "a");
  BOOST_CHECK_EQUAL(busy.mLimiter.Running(), 0);
}

BOOST_AUTO_TEST_CASE(give_keys_turns_so_that_a_hot_one_starves_nobody)
{
  busy_limiter busy;
  for (int i = 0; i < 4; ++i) {
    busy.Queue("h");
  }
  busy.Queue("a");
  busy.Queue("b");
  BOOST_CHECK_EQUAL(busy.Drain(), "habhhh");
}

BOOST_AUTO_TEST_CASE(let_short_calls_go_before_work_that_can_wait)
{
  busy_limiter busy;
  const instant soon = kFar - std::chrono::minutes(1);
  busy.Queue({ "", "upload", 1, kFar, kFar }, "u");
  busy.Queue({ "", "upload", 1, kFar, kFar }, "v");
  busy.Queue({ "", "lookup", 1, soon, kFar }, "l");
  BOOST_CHECK_EQUAL(busy.Drain(), "luv");
}

BOOST_AUTO_TEST_CASE(let_the_more_urgent_priority_go_first)
{
  busy_limiter busy;
  const instant soon = kFar - std::chrono::minutes(1);
  busy.Queue({ "", "read", 2, soon, kFar }, "r");
  busy.Queue({ "", "alert", 1, kFar, kFar }, "a");
  BOOST_CHECK_EQUAL(busy.Drain(), "ar");
}

BOOST_AUTO_TEST_CASE(count_for_each_route_the_time_that_its_requests_take)
{
  run_times times;
  times.Add("upload", std::chrono::milliseconds(400));
  times.Add("lookup", std::chrono::milliseconds(30));
  BOOST_CHECK(times.Of("lookup") == std::chrono::milliseconds(30));
  BOOST_CHECK(times.Of("upload") == std::chrono::milliseconds(400));
  BOOST_CHECK(times.Of("unknown") == times.OfAll());
}

BOOST_AUTO_TEST_CASE(begin_nothing_that_can_no_longer_end_in_time)
{
  busy_limiter busy;
  const instant now = boot_clock::now();
  busy.Queue({ "", "", 0, kFar, now + std::chrono::milliseconds(5) }, "late");
  boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
  busy.Queue("a");
  BOOST_CHECK_EQUAL(busy.Drain(), "!a");
}

BOOST_AUTO_TEST_CASE(refuse_when_the_queue_is_full)
{
  busy_limiter busy;
  for (int i = 0; i < 32; ++i) {
    busy.Queue("a");
  }
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "b", "", 0, kFar, kFar }).status()));
  busy.Drain();
}

BOOST_AUTO_TEST_CASE(refuse_at_once_what_would_come_too_late_to_be_worth_it)
{
  busy_limiter busy;
  const instant now = boot_clock::now();
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "a", "", 0, now - duration(1), kFar }).status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_CASE(refuse_at_once_what_would_miss_its_deadline)
{
  busy_limiter busy;
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "a", "", 0, kFar, boot_clock::now() - duration(1) })
      .status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
