#include "plantaindale/limits/server_limiter.h"

#include <string>
#include <vector>

#include "plantaindale/base/cancellation.h"
#include "plantaindale/limits/admission_refusal.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kFarFuture = boot_clock::now() + std::chrono::hours(1);

// A limiter whose only slot is taken; records the order of admission.
struct busy_limiter
{
  busy_limiter()
  {
    mLimiter.SetSlots(1);
    mHeldPermits.push_back(
      *mLimiter.Acquire({ "first", "", 0, kFarFuture, kFarFuture }));
  }

  // Queues a request of the key.
  void Queue(const std::string& aKey)
  {
    Queue({ aKey, "", 0, kFarFuture, kFarFuture }, aKey);
  }
  // Appends `aName` to the order on admission, "!" on rejection.
  void Queue(const admission_request& aRequest, const std::string& aName)
  {
    mWaiting.emplace_back([this, aRequest, aName] {
      auto permit = mLimiter.Acquire(aRequest);
      mOrder += permit.ok() ? aName : "!";
    });
    boost::this_fiber::yield();
  }

  // Frees the held slot, waits until the queue is empty and returns the order.
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

BOOST_AUTO_TEST_SUITE(whose_requester_leaves)

BOOST_AUTO_TEST_CASE(waits_no_longer_and_frees_its_place)
{
  busy_limiter busy;
  cancellation cancelled;
  busy.Queue({ "a", "", 0, kFarFuture, kFarFuture, false, &cancelled }, "a");
  busy.Queue("b");
  cancelled.Cancel();
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 1);
  boost::this_fiber::yield();
  BOOST_CHECK_EQUAL(busy.mOrder, "!");
  BOOST_CHECK_EQUAL(busy.mLimiter.Metrics().Withdrawn(), 1);
  BOOST_CHECK_EQUAL(busy.Drain(), "!b");
}

BOOST_AUTO_TEST_CASE(gets_no_slot_though_no_event_told_of_it)
{
  busy_limiter busy;
  bool has_gone = false;
  cancellation cancelled([&] { return has_gone; });
  busy.Queue({ "a", "", 0, kFarFuture, kFarFuture, false, &cancelled }, "a");
  busy.Queue("b");
  has_gone = true;
  BOOST_CHECK_EQUAL(busy.Drain(), "!b");
  BOOST_CHECK_EQUAL(busy.mLimiter.Metrics().Withdrawn(), 1);
}

BOOST_AUTO_TEST_CASE(is_not_queued_after_it_left)
{
  busy_limiter busy;
  cancellation cancelled([] { return true; });
  const auto refused = busy.mLimiter.Acquire(
    { "a", "", 0, kFarFuture, kFarFuture, false, &cancelled });
  BOOST_CHECK(absl::IsCancelled(refused.status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_CASE(refusals_of_the_server_do_not_count_as_run_times)
{
  server_limiter limiter;
  limiter.SetSlots(1);
  const admission_request request{ "", "r", 0, kFarFuture, kFarFuture };
  limiter.Acquire(request)->DiscardTime();
  BOOST_CHECK(limiter.TypicalTime() == duration(0));
  {
    const auto permit = limiter.Acquire(request);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
  }
  const duration typical = limiter.TypicalTime();
  BOOST_CHECK(typical > duration(0));
  limiter.Acquire(request)->DiscardTime();
  BOOST_CHECK(limiter.TypicalTime() == typical);
  BOOST_CHECK_EQUAL(limiter.Running(), 0);
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
  busy.mLimiter.SetQueuesLate(false);
  const instant now = boot_clock::now();
  BOOST_CHECK(absl::IsResourceExhausted(
    busy.mLimiter.Acquire({ "a", "", 0, now - duration(1), kFarFuture })
      .status()));
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 0);
}

BOOST_AUTO_TEST_CASE(queues_a_request_that_can_only_end_after_its_target)
{
  busy_limiter busy;
  const instant past = boot_clock::now() - duration(1);
  busy.Queue({ "late", "", 0, past, kFarFuture }, "l");
  busy.Queue("a");
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 2);
  BOOST_CHECK_EQUAL(busy.Drain(), "al");
}

BOOST_AUTO_TEST_CASE(displaces_a_less_urgent_request_from_a_full_queue)
{
  busy_limiter busy;
  busy.Queue({ "", "", 2, kFarFuture, kFarFuture }, "l");
  for (int i = 0; i < 31; ++i) {
    busy.Queue({ "", "", 1, kFarFuture, kFarFuture }, "a");
  }
  busy.Queue({ "", "", 1, kFarFuture, kFarFuture }, "u");
  boost::this_fiber::yield();
  BOOST_CHECK_EQUAL(busy.mOrder, "!"); // at once
  BOOST_CHECK_EQUAL(busy.mLimiter.Waiting(), 32);
  BOOST_CHECK_EQUAL(
    busy.mLimiter.Metrics().TurnedAway(turn_away_reason::kDisplaced, 2), 1);
  BOOST_CHECK_EQUAL(busy.Drain(), "!" + std::string(31, 'a') + "u");
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_room_is_expected)
{
  busy_limiter busy;
  boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
  busy.mHeldPermits.clear(); // has run for 10 ms
  busy.mHeldPermits.push_back(
    *busy.mLimiter.Acquire({ "first", "", 0, kFarFuture, kFarFuture }));
  for (int i = 0; i < 10; ++i) {
    busy.Queue("a");
  }
  const instant now = boot_clock::now();
  const auto refused = busy.mLimiter.Acquire(
    { "b", "", 1, now, now + std::chrono::microseconds(100) });
  BOOST_CHECK(absl::IsResourceExhausted(refused.status()));
  BOOST_CHECK(RoomExpectedIn(refused.status()) > duration(0));
  BOOST_CHECK(RoomExpectedIn(absl::OkStatus()) == duration(0));
  BOOST_CHECK_EQUAL(
    busy.mLimiter.Metrics().TurnedAway(turn_away_reason::kNoRoom, 1), 1);
  busy.Drain();
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
