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
    mHeld.push_back(*mLimiter.Acquire("first", kFar, kFar));
  }

  // A request of the key joins the queue.
  void Queue(const std::string& aKey)
  {
    mWaiting.emplace_back([this, aKey] {
      auto turn = mLimiter.Acquire(aKey, kFar, kFar);
      mOrder += turn.ok() ? aKey : "!";
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

BOOST_AUTO_TEST_CASE(refuse_when_the_queue_is_full)
{
  busy_limiter busy;
  for (int i = 0; i < 32; ++i) {
    busy.Queue("a");
  }
  BOOST_CHECK(
    absl::IsResourceExhausted(busy.mLimiter.Acquire("b", kFar, kFar).status()));
  busy.Drain();
}

BOOST_AUTO_TEST_CASE(refuse_at_once_what_would_come_too_late_to_be_worth_it)
{
  busy_limiter busy;
  const instant now = boot_clock::now();
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire("a", now - duration(1), kFar).status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_CASE(refuse_at_once_what_would_miss_its_deadline)
{
  busy_limiter busy;
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire("a", kFar, boot_clock::now() - duration(1))
      .status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
