#include "plantaindale/limits/admission_queue.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kNow = instant(seconds(1000));
constexpr duration kRunTime = milliseconds(100);

// A queue of a server with one slot.
struct one_slot_queue
{
  one_slot_queue() { mQueue.SetSlots(1); }

  struct named_request : queued_request
  {
    named_request(const admission_request& aRequest,
                  duration aRunTime,
                  std::string aName)
      : queued_request(aRequest, aRunTime)
      , mName(std::move(aName))
    {
    }
    std::string mName;
  };

  admission_decision Offer(const std::string& aName,
                           int aPriority,
                           duration aTarget,
                           duration aDeadline,
                           bool aIsCall = false,
                           const std::string& aKey = "",
                           duration aRunTime = kRunTime)
  {
    mRequests.push_back(std::make_unique<named_request>(
      admission_request{
        aKey, "", aPriority, kNow + aTarget, kNow + aDeadline, aIsCall },
      aRunTime,
      aName));
    return mQueue.Offer(*mRequests.back(), duration(0), kNow);
  }

  // The order in which the queue is emptied, with one run after the other.
  std::string Drain(instant aNow = kNow)
  {
    std::string order;
    while (queued_request* next = mQueue.Next(aNow)) {
      order += static_cast<named_request*>(next)->mName;
      aNow += next->mRunTime;
      mQueue.Start(*next);
    }
    return order;
  }

  static std::string NameOf(const queued_request* aRequest)
  {
    return aRequest == nullptr
             ? ""
             : static_cast<const named_request*>(aRequest)->mName;
  }

  admission_queue mQueue;
  std::vector<std::unique_ptr<named_request>> mRequests;
};

BOOST_AUTO_TEST_SUITE(admission_queue_test)

BOOST_AUTO_TEST_SUITE(order)

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_first)
{
  one_slot_queue queue;
  queue.Offer("c", 2, seconds(9), seconds(9));
  queue.Offer("a", 0, seconds(9), seconds(9));
  queue.Offer("b", 1, seconds(9), seconds(9));
  BOOST_CHECK_EQUAL(queue.Drain(), "abc");
}

BOOST_AUTO_TEST_CASE(a_less_urgent_call_may_use_the_slack_of_more_urgent_work)
{
  one_slot_queue queue;
  queue.Offer("u", 1, milliseconds(400), seconds(9));
  queue.Offer("c", 2, milliseconds(150), seconds(9), true);
  BOOST_CHECK_EQUAL(queue.Drain(), "cu");
}

BOOST_AUTO_TEST_CASE(a_less_urgent_call_waits_where_there_is_no_slack)
{
  one_slot_queue queue;
  queue.Offer("u", 1, milliseconds(250), seconds(9));
  queue.Offer("c", 2, milliseconds(150), seconds(9), true);
  BOOST_CHECK_EQUAL(queue.Drain(), "uc");
}

BOOST_AUTO_TEST_CASE(less_urgent_new_work_waits_also_where_there_is_slack)
{
  one_slot_queue queue;
  queue.Offer("u", 1, milliseconds(400), seconds(9));
  queue.Offer("l", 2, milliseconds(150), seconds(9));
  BOOST_CHECK_EQUAL(queue.Drain(), "ul");
}

BOOST_AUTO_TEST_CASE(a_call_goes_before_new_work_of_its_priority)
{
  one_slot_queue queue;
  queue.Offer("n", 1, milliseconds(900), seconds(9));
  queue.Offer("c", 1, milliseconds(900), seconds(9), true);
  BOOST_CHECK_EQUAL(queue.Drain(), "cn");
}

BOOST_AUTO_TEST_CASE(a_call_of_less_urgent_work_waits)
{
  one_slot_queue queue;
  queue.Offer("n", 1, milliseconds(900), seconds(9));
  queue.Offer("c", 2, milliseconds(900), seconds(9), true);
  BOOST_CHECK_EQUAL(queue.Drain(), "nc");
}

BOOST_AUTO_TEST_CASE(what_can_only_be_late_goes_behind_what_can_be_in_time)
{
  one_slot_queue queue;
  queue.Offer("l", 1, milliseconds(50), seconds(9));
  queue.Offer("t", 1, seconds(1), seconds(9));
  BOOST_CHECK_EQUAL(queue.Drain(), "tl");
}

BOOST_AUTO_TEST_CASE(what_becomes_late_while_it_waits_goes_behind)
{
  one_slot_queue queue;
  queue.Offer("l", 1, milliseconds(200), seconds(9));
  queue.Offer("t", 1, seconds(1), seconds(9));
  BOOST_CHECK_EQUAL(queue.Drain(kNow + milliseconds(300)), "tl");
}

BOOST_AUTO_TEST_CASE(a_returning_caller_goes_before_a_new_one)
{
  one_slot_queue queue;
  queue.Offer("n", 1, seconds(1), seconds(4));
  queue.Offer("r", 1, seconds(1), seconds(3));
  BOOST_CHECK_EQUAL(queue.Drain(), "rn");
}

BOOST_AUTO_TEST_CASE(among_late_ones_a_returning_caller_goes_before_a_new_one)
{
  one_slot_queue queue;
  queue.Offer("n", 1, milliseconds(50), seconds(4));
  queue.Offer("r", 1, milliseconds(-900), seconds(3));
  BOOST_CHECK_EQUAL(queue.Drain(), "rn");
}

BOOST_AUTO_TEST_CASE(keys_take_turns)
{
  one_slot_queue queue;
  for (int i = 0; i < 3; ++i) {
    queue.Offer("h", 1, seconds(9), seconds(9), false, "hot");
  }
  queue.Offer("a", 1, seconds(9), seconds(9), false, "a");
  queue.Offer("b", 1, seconds(9), seconds(9), false, "b");
  BOOST_CHECK_EQUAL(queue.Drain(), "habhh");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refusals)

BOOST_AUTO_TEST_CASE(what_can_end_by_its_deadline_waits)
{
  one_slot_queue queue;
  queue.Offer("a", 1, seconds(9), seconds(9));
  BOOST_CHECK(
    !queue.Offer("b", 1, milliseconds(50), milliseconds(300)).mRefusal);
}

BOOST_AUTO_TEST_CASE(
  what_would_probably_be_late_is_refused_unless_late_ones_wait)
{
  one_slot_queue queue;
  queue.mQueue.SetQueuesLate(false);
  queue.Offer("a", 0, seconds(9), seconds(9)); // runs for 100 ms
  BOOST_CHECK(queue.Offer("b", 1, milliseconds(299), seconds(9)).mRefusal ==
              admission_refusal::kNoRoom);
  BOOST_CHECK(!queue.Offer("c", 1, milliseconds(400), seconds(9)).mRefusal);
  BOOST_CHECK(
    !queue.Offer("call", 1, milliseconds(50), seconds(9), true).mRefusal);
}

BOOST_AUTO_TEST_CASE(what_cannot_end_by_its_deadline_is_refused)
{
  one_slot_queue queue;
  queue.Offer(
    "a", 0, milliseconds(700), seconds(9), false, "", milliseconds(500));
  const auto decision =
    queue.Offer("b", 1, milliseconds(550), milliseconds(550));
  BOOST_CHECK(decision.mRefusal == admission_refusal::kNoRoom);
  BOOST_CHECK(decision.mExpectedWait >= milliseconds(500));
  BOOST_CHECK_EQUAL(queue.mQueue.Size(), 1);
}

BOOST_AUTO_TEST_CASE(short_work_ahead_delays_less_than_long_work)
{
  one_slot_queue queue;
  for (int i = 0; i < 5; ++i) {
    queue.Offer(
      "s", 0, milliseconds(70), seconds(9), false, "", milliseconds(10));
  }
  const auto decision =
    queue.Offer("b", 1, milliseconds(190), milliseconds(190));
  BOOST_CHECK(!decision.mRefusal);
  BOOST_CHECK(decision.mExpectedWait >= milliseconds(50));
  BOOST_CHECK(decision.mExpectedWait < milliseconds(60));
}

BOOST_AUTO_TEST_CASE(the_pace_of_a_cold_server_counts)
{
  one_slot_queue queue;
  queue.mQueue.SetRate(2.0);
  queue.Offer("a", 0, milliseconds(500), seconds(9));
  BOOST_CHECK(
    queue.Offer("b", 1, milliseconds(550), milliseconds(550)).mRefusal ==
    admission_refusal::kNoRoom);
}

BOOST_AUTO_TEST_CASE(late_work_expects_the_arrivals_that_go_first)
{
  one_slot_queue queue;
  for (int i = 0; i < 5; ++i) {
    queue.mQueue.StartAtOnce(0, kRunTime, kNow);
  }
  queue.Offer("a", 1, seconds(8), seconds(9));
  const duration wait =
    queue.Offer("b", 1, milliseconds(50), seconds(9)).mExpectedWait;
  BOOST_CHECK(wait >= milliseconds(200));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(displacement)

// Fills the queue with requests that can wait long.
struct full_queue : one_slot_queue
{
  full_queue()
  {
    while (mQueue.Size() < 30) {
      Offer("m", 2, seconds(90), seconds(90), false, "", milliseconds(10));
    }
    Offer("k", 2, seconds(90), seconds(90), false, "", milliseconds(30));
    Offer("c", 2, seconds(90), seconds(90), true, "", milliseconds(90));
  }
};

BOOST_FIXTURE_TEST_CASE(urgent_work_displaces_less_urgent_work, full_queue)
{
  const auto decision = Offer("u", 1, seconds(90), seconds(90));
  BOOST_CHECK(!decision.mRefusal);
  BOOST_CHECK_EQUAL(mQueue.Size(), 32);
  BOOST_CHECK_EQUAL(NameOf(decision.mDisplaced), "k"); // the most work
}

BOOST_FIXTURE_TEST_CASE(late_work_is_displaced_before_work_in_time, full_queue)
{
  mQueue.Remove(*mRequests[0]);
  Offer("l", 2, duration(0), seconds(90), false, "", milliseconds(10));
  BOOST_CHECK_EQUAL(NameOf(Offer("u", 1, seconds(90), seconds(90)).mDisplaced),
                    "l");
}

BOOST_FIXTURE_TEST_CASE(equal_work_is_refused, full_queue)
{
  const auto decision = Offer("e", 2, seconds(90), seconds(90));
  BOOST_CHECK(decision.mRefusal == admission_refusal::kQueueFull);
  BOOST_CHECK(decision.mDisplaced == nullptr);
}

BOOST_FIXTURE_TEST_CASE(less_urgent_work_is_refused, full_queue)
{
  const auto decision = Offer("e", 3, seconds(90), seconds(90));
  BOOST_CHECK(decision.mRefusal == admission_refusal::kQueueFull);
}

BOOST_AUTO_TEST_CASE(what_urgent_arrivals_leave_no_room_is_told_at_once)
{
  one_slot_queue queue;
  queue.Offer("l", 2, milliseconds(250), milliseconds(250));
  queue.Offer("v", 1, milliseconds(130), seconds(1));
  const auto decision = queue.Offer("u", 1, milliseconds(260), seconds(1));
  BOOST_CHECK(!decision.mRefusal);
  BOOST_CHECK_EQUAL(queue.NameOf(decision.mDisplaced), "l");
  BOOST_CHECK_EQUAL(queue.Drain(), "vu");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
