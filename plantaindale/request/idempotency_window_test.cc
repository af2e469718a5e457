#include "plantaindale/request/idempotency_window.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const auto kNow = std::chrono::system_clock::time_point(seconds(1'800'000'000));
constexpr char kOpaqueKey[] = "order-17";

key_history
FirstOwner()
{
  return { std::nullopt, kNow, true };
}

key_history
OwnerSince(std::chrono::system_clock::time_point aSince)
{
  return { std::nullopt, aSince, false };
}

recorded_outcome
Answer(std::string aBody)
{
  recorded_outcome outcome;
  outcome.mResult = Answered();
  outcome.mBody = std::move(aBody);
  outcome.mIsWhole = true;
  return outcome;
}

BOOST_AUTO_TEST_SUITE(a_request_with_an_idempotency_key)

BOOST_AUTO_TEST_CASE(is_run_the_first_time_and_answered_from_memory_after_that)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRun);
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRunning);
  window.Finish(kOpaqueKey, Answer("booked"));
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRecorded);
  BOOST_CHECK_EQUAL(window.Find(kOpaqueKey)->mBody, "booked");
}

BOOST_AUTO_TEST_CASE(that_was_not_run_may_be_run_again)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRun);
  window.Forget(kOpaqueKey);
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRun);
}

BOOST_AUTO_TEST_SUITE(after_a_change_of_owner)

BOOST_AUTO_TEST_CASE(is_not_run_when_its_key_tells_no_time)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, OwnerSince(kNow - minutes(9)), kNow) ==
              window_answer::kCannotVouch);
  BOOST_CHECK(window.Begin(kOpaqueKey, OwnerSince(kNow - minutes(11)), kNow) ==
              window_answer::kRun);
}

BOOST_AUTO_TEST_CASE(is_run_only_when_its_key_is_younger_than_the_owner)
{
  idempotency_window window;
  key_history history = OwnerSince(kNow - minutes(1));
  history.mMadeAt = kNow - minutes(2);
  BOOST_CHECK(window.Begin("older", history, kNow) ==
              window_answer::kCannotVouch);
  history.mMadeAt = kNow - seconds(30);
  BOOST_CHECK(window.Begin("younger", history, kNow) == window_answer::kRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_run_again_once_its_outcome_was_dropped)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              window_answer::kRun);
  window.Finish(kOpaqueKey, Answer("booked"));
  const auto later = kNow + minutes(11);
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), later) ==
              window_answer::kRun); // the window's stated length has passed
  key_history history = FirstOwner();
  history.mMadeAt = kNow - seconds(5);
  BOOST_CHECK(window.Begin("old uuid", history, later) ==
              window_answer::kCannotVouch);
}

BOOST_AUTO_TEST_CASE(tells_its_time_when_it_is_a_version_7_uuid)
{
  const auto made = TimeOfKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  BOOST_REQUIRE(made.has_value());
  BOOST_CHECK(made->time_since_epoch() ==
              std::chrono::milliseconds(0x017f22e279b0));
  BOOST_CHECK(!TimeOfKey("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value());
  BOOST_CHECK(!TimeOfKey(kOpaqueKey).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
