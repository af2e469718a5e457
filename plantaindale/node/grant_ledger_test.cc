#include "plantaindale/node/grant_ledger.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;

const instant kStart = instant(std::chrono::hours(1));

// A ledger with a server that accepts every due grant.
struct granting_server
{
  void Grant(instant aNow, instant aLeaseUntil)
  {
    mCalls.clear();
    while (const auto due = mLedger.NextDue(aNow, aLeaseUntil)) {
      mCalls.push_back(*due);
      mLedger.OnSent(*due, aNow);
      mLedger.OnGranted(*due, aNow);
    }
  }

  grant_ledger mLedger;
  std::vector<grant_range> mCalls;
};

BOOST_AUTO_TEST_SUITE(grant_ledger_due_grants)

BOOST_AUTO_TEST_CASE(merges_adjacent_shards_under_highest_token)
{
  granting_server server;
  server.mLedger.SetDesired(
    { { 1, 3, "" }, { 2, 5, "" }, { 3, 4, "" }, { 7, 9, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 2u);
  BOOST_CHECK_EQUAL(server.mCalls[0].mFirst, 1);
  BOOST_CHECK_EQUAL(server.mCalls[0].mLast, 3);
  BOOST_CHECK_EQUAL(server.mCalls[0].mFence, 5);
  BOOST_CHECK_EQUAL(server.mCalls[1].mFence, 9);
}

BOOST_AUTO_TEST_CASE(never_lowers_token)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 3, "" }, { 2, 5, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  // The shard with the higher epoch has moved to another node.
  server.mLedger.SetDesired({ { 1, 3, "" } });
  server.Grant(kStart, kStart + milliseconds(1400));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 1u);
  BOOST_CHECK_EQUAL(server.mCalls[0].mFence, 5);
}

BOOST_AUTO_TEST_CASE(expires_before_lease_on_slow_clock)
{
  granting_server server;
  const instant lease_until = kStart + milliseconds(1000);
  server.mLedger.SetDesired({ { 1, 1, "" } });
  server.Grant(kStart, lease_until);
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 1u);
  BOOST_CHECK(server.mLedger.MayHoldUntil(1) <= lease_until);
  BOOST_CHECK(server.mLedger.MayHoldUntil(1) >= lease_until - milliseconds(30));
}

BOOST_AUTO_TEST_CASE(renews_only_after_lease_extension)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  server.Grant(kStart + milliseconds(100), kStart + milliseconds(1000));
  BOOST_CHECK(server.mCalls.empty());
  server.Grant(kStart + milliseconds(300), kStart + milliseconds(1300));
  BOOST_CHECK_EQUAL(server.mCalls.size(), 1u);
}

BOOST_AUTO_TEST_CASE(sends_handover_once)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 2, "" }, { 2, 2, "warm" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 2u);
  BOOST_CHECK_EQUAL(server.mCalls[1].mHandover, "warm");
  server.Grant(kStart + milliseconds(300), kStart + milliseconds(1300));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 1u);
  BOOST_CHECK_EQUAL(server.mCalls[0].mHandover, "");
  BOOST_CHECK_EQUAL(server.mCalls[0].mLast, 2);
}

BOOST_AUTO_TEST_CASE(sends_nothing_after_lease_expiry)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" } });
  server.Grant(kStart, kStart - milliseconds(1));
  BOOST_CHECK(server.mCalls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(grant_ledger_held_ranges)

BOOST_AUTO_TEST_CASE(reports_held_shards_until_expiry)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" }, { 2, 1, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  const auto held = server.mLedger.Held();
  BOOST_REQUIRE_EQUAL(held.size(), 1u);
  BOOST_CHECK_EQUAL(held[0].mLast, 2);
  BOOST_CHECK(held[0].mUntil == kStart + server.mCalls[0].mHold);
}

// A renewal sent concurrently with a release must not grant the keys again to
// the server that has just released them.
BOOST_AUTO_TEST_CASE(does_not_renew_shard_being_released)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" }, { 2, 1, "" }, { 3, 1, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  server.mLedger.StopGranting({ 2 });
  server.Grant(kStart + milliseconds(400), kStart + milliseconds(1400));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 2u);
  BOOST_CHECK_EQUAL(server.mCalls[0].mLast, 1);
  BOOST_CHECK_EQUAL(server.mCalls[1].mFirst, 3);
}

BOOST_AUTO_TEST_CASE(unanswered_grant_is_in_doubt)
{
  grant_ledger ledger;
  ledger.SetDesired({ { 1, 1, "" } });
  const auto due = ledger.NextDue(kStart, kStart + milliseconds(1000));
  BOOST_REQUIRE(due.has_value());
  ledger.OnSent(*due, kStart);
  ledger.OnFailed(*due, kStart + milliseconds(300), false);
  BOOST_CHECK(ledger.Held().empty());
  BOOST_CHECK(ledger.InDoubtUntil(1) > kStart + milliseconds(900));
  BOOST_CHECK(ledger.InDoubtUntil(1) <= kStart + milliseconds(1000));
}

BOOST_AUTO_TEST_CASE(grant_that_was_not_sent_extends_no_hold)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  const instant may_hold_until = server.mLedger.MayHoldUntil(1);
  const instant later = kStart + milliseconds(500);
  const auto due = server.mLedger.NextDue(later, kStart + milliseconds(1500));
  BOOST_REQUIRE(due.has_value());
  server.mLedger.OnNotSent(*due, later);
  BOOST_CHECK(server.mLedger.Held().empty());
  BOOST_CHECK(server.mLedger.MayHoldUntil(1) == may_hold_until);
  BOOST_CHECK(!server.mLedger.NextDue(later, kStart + milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(restarted_server_holds_nothing)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 1, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  server.mLedger.ForgetServerState();
  BOOST_CHECK(server.mLedger.Held().empty());
  server.Grant(kStart, kStart + milliseconds(1000));
  BOOST_CHECK_EQUAL(server.mCalls.size(), 1u);
}

// A server that was taken for lost and is back has seen the tokens sent before,
// and refuses lower ones for good.
BOOST_AUTO_TEST_CASE(server_that_is_back_gets_no_lower_token)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 3, "" }, { 2, 5, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  const instant may_hold_until = server.mLedger.AnyMayHoldUntil();
  server.mLedger.ForgetServerState();
  // The shard with the higher epoch has moved to another node.
  server.mLedger.SetDesired({ { 1, 3, "" } });
  BOOST_CHECK(server.mLedger.AnyMayHoldUntil() == may_hold_until);
  server.Grant(kStart, kStart + milliseconds(1000));
  BOOST_REQUIRE_EQUAL(server.mCalls.size(), 1u);
  BOOST_CHECK_EQUAL(server.mCalls[0].mFence, 5);
}

BOOST_AUTO_TEST_CASE(ended_server_holds_nothing_but_its_tokens_stay)
{
  granting_server server;
  server.mLedger.SetDesired({ { 1, 3, "" } });
  server.Grant(kStart, kStart + milliseconds(1000));
  server.mLedger.OnServerEnded();
  BOOST_CHECK(server.mLedger.AnyMayHoldUntil() == kNever);
  BOOST_CHECK_EQUAL(server.mLedger.LastFence(1), 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
