#include "plantaindale/limits/server_limiter.h"

#include <string>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kFarFuture = boot_clock::now() + std::chrono::hours(1);

// A limiter whose one slot is taken, and a note of who gets the next turns.
struct busy_limiter
{
  busy_limiter()
  {
    mLimiter.SetSlots(1);
    mHeldPermits.push_back(
      *mLimiter.Acquire({ "first", "", 0, kFarFuture, kFarFuture }));
  }

  // A request of the key joins the queue.
  void Queue(const std::string& aKey)
  {
    Queue({ aKey, "", 0, kFarFuture, kFarFuture }, aKey);
  }
  // `aName` is noted when it gets its turn.
  void Queue(const admission_request& aRequest, const std::string& aName)
  {
    mWaiting.emplace_back([this, aRequest, aName] {
      auto permit = mLimiter.Acquire(aRequest);
      mOrder += permit.ok() ? aName : "!";
    });
    boost::this_fiber::yield();
  }

  // Ends the held turn, and waits until the queue is served.
  std::string Drain()
  {
    mHeldPermits.clear();
    for (boost::fibers::fiber& waiting : mWaiting) {
      waiting.join();
    }
    return mOrder;
  }

  server_limiter mLimiter;
  std::vector<server_limiter::permit> mHeldPermits;
  std::vector<boost::fibers::fiber> mWaiting;
  std::string mOrder;
};

BOOST_AUTO_TEST_SUITE(server_limiter_test)

BOOST_AUTO_TEST_CASE(runs_at_most_one_request_per_slot)
{
  busy_limiter busy;
  busy.Queue("a");
  BOOST_CHECK_EQUAL(busy.mLimiter.Running(), 1);
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 1);
  BOOST_CHECK_EQUAL(busy.Drain(), "a");
  BOOST_CHECK_EQUAL(busy.mLimiter.Running(), 0);
}

BOOST_AUTO_TEST_CASE(alternates_between_keys)
{
  busy_limiter busy;
  for (int i = 0; i < 4; ++i) {
    busy.Queue("h");
  }
  busy.Queue("a");
  busy.Queue("b");
  BOOST_CHECK_EQUAL(busy.Drain(), "habhhh");
}

BOOST_AUTO_TEST_CASE(admits_the_earliest_target_first)
{
  busy_limiter busy;
  const instant soon = kFarFuture - std::chrono::minutes(1);
  busy.Queue({ "", "upload", 1, kFarFuture, kFarFuture }, "u");
  busy.Queue({ "", "upload", 1, kFarFuture, kFarFuture }, "v");
  busy.Queue({ "", "lookup", 1, soon, kFarFuture }, "l");
  BOOST_CHECK_EQUAL(busy.Drain(), "luv");
}

BOOST_AUTO_TEST_CASE(admits_the_most_urgent_priority_first)
{
  busy_limiter busy;
  const instant soon = kFarFuture - std::chrono::minutes(1);
  busy.Queue({ "", "read", 2, soon, kFarFuture }, "r");
  busy.Queue({ "", "alert", 1, kFarFuture, kFarFuture }, "a");
  BOOST_CHECK_EQUAL(busy.Drain(), "ar");
}

BOOST_AUTO_TEST_CASE(estimates_run_time_per_route)
{
  service_time_estimator times;
  times.Add("upload", std::chrono::milliseconds(400));
  times.Add("lookup", std::chrono::milliseconds(30));
  BOOST_CHECK(times.ForRoute("lookup") == std::chrono::milliseconds(30));
  BOOST_CHECK(times.ForRoute("upload") == std::chrono::milliseconds(400));
  BOOST_CHECK(times.ForRoute("unknown") == times.Overall());
}

BOOST_AUTO_TEST_CASE(does_not_admit_a_request_that_cannot_finish_in_time)
{
  busy_limiter busy;
  const instant now = boot_clock::now();
  busy.Queue({ "", "", 0, kFarFuture, now + std::chrono::milliseconds(5) },
             "late");
  boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
  busy.Queue("a");
  BOOST_CHECK_EQUAL(busy.Drain(), "!a");
}

BOOST_AUTO_TEST_CASE(rejects_when_the_queue_is_full)
{
  busy_limiter busy;
  for (int i = 0; i < 32; ++i) {
    busy.Queue("a");
  }
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "b", "", 0, kFarFuture, kFarFuture }).status()));
  busy.Drain();
}

BOOST_AUTO_TEST_CASE(rejects_at_once_when_the_target_cannot_be_met)
{
  busy_limiter busy;
  const instant now = boot_clock::now();
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "a", "", 0, now - duration(1), kFarFuture })
      .status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_CASE(rejects_at_once_when_the_deadline_cannot_be_met)
{
  busy_limiter busy;
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter
      .Acquire({ "a", "", 0, kFarFuture, boot_clock::now() - duration(1) })
      .status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
