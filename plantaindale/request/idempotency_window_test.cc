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
  outcome.mIsComplete = true;
  return outcome;
}

BOOST_AUTO_TEST_SUITE(idempotency_window_test)

BOOST_AUTO_TEST_CASE(runs_a_key_once_and_replays_the_recorded_response)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRun);
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRunning);
  window.Finish(kOpaqueKey, Answer("booked"));
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRecorded);
  BOOST_CHECK_EQUAL(window.Find(kOpaqueKey)->mBody, "booked");
}

BOOST_AUTO_TEST_CASE(allows_a_retry_of_a_request_that_was_not_run)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRun);
  window.Forget(kOpaqueKey);
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRun);
}

BOOST_AUTO_TEST_SUITE(after_a_change_of_owner)

BOOST_AUTO_TEST_CASE(refuses_a_key_without_a_time_during_the_retention)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, OwnerSince(kNow - minutes(9)), kNow) ==
              idempotency_decision::kIndeterminate);
  BOOST_CHECK(window.Begin(kOpaqueKey, OwnerSince(kNow - minutes(11)), kNow) ==
              idempotency_decision::kRun);
}

BOOST_AUTO_TEST_CASE(runs_only_keys_newer_than_the_ownership)
{
  idempotency_window window;
  key_history history = OwnerSince(kNow - minutes(1));
  history.mCreatedAt = kNow - minutes(2);
  BOOST_CHECK(window.Begin("older", history, kNow) ==
              idempotency_decision::kIndeterminate);
  history.mCreatedAt = kNow - seconds(30);
  BOOST_CHECK(window.Begin("younger", history, kNow) ==
              idempotency_decision::kRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(refuses_a_key_older_than_the_evicted_entries)
{
  idempotency_window window;
  BOOST_CHECK(window.Begin(kOpaqueKey, FirstOwner(), kNow) ==
              idempotency_decision::kRun);
  window.Finish(kOpaqueKey, Answer("booked"));
  const auto later = kNow + minutes(11);
  BOOST_CHECK(
    window.Begin(kOpaqueKey, FirstOwner(), later) ==
    idempotency_decision::kRun); // the window's stated length has passed
  key_history history = FirstOwner();
  history.mCreatedAt = kNow - seconds(5);
  BOOST_CHECK(window.Begin("old uuid", history, later) ==
              idempotency_decision::kIndeterminate);
}

BOOST_AUTO_TEST_CASE(reads_the_creation_time_of_a_version_7_uuid)
{
  const auto made = CreationTimeOfKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  BOOST_REQUIRE(made.has_value());
  BOOST_CHECK(made->time_since_epoch() ==
              std::chrono::milliseconds(0x017f22e279b0));
  BOOST_CHECK(
    !CreationTimeOfKey("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value());
  BOOST_CHECK(!CreationTimeOfKey(kOpaqueKey).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
