// Each rule that closes a hole of the lease, as a small story: with the rule a
// node is never retired while it holds a lease; without it, it is.
#include "plantaindale/lease/lease_holder.h"
#include "plantaindale/lease/retirement_proof.h"
#include "plantaindale/lease/witness_ledger.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const node_identity kHolder = MakeIdentity("x", 1);
const node_identity kA = MakeIdentity("a", 1);
const node_identity kB = MakeIdentity("b", 1);
const node_identity kC = MakeIdentity("c", 1);
const instant kStart{ seconds(100) };

// A holder with witnesses a, b and c that learnt of its record long ago.
struct lease_fixture
{
  explicit lease_fixture(lease_rules aRules = {})
    : mTiming{ .mRules = aRules }
    , mLease(kHolder, mTiming)
    , mLedgerA(kA, mTiming)
    , mLedgerB(kB, mTiming)
    , mProof(kHolder, { kA, kB, kC }, kStart - seconds(10), mTiming)
  {
    mLease.BeginWrite(kStart - seconds(10), { kA, kB, kC });
    mLease.WriteSucceeded();
  }

  // A whole round with a and b, over in an instant.
  void Renew(instant aNow)
  {
    const vouch_round round = mLease.BeginRound(aNow);
    if (mLedgerA.Vouch(kHolder, kA, aNow).ok()) {
      mLease.OnVouch(kA, round.mNumber, aNow);
    }
    if (mLedgerB.Vouch(kHolder, kB, aNow).ok()) {
      mLease.OnVouch(kB, round.mNumber, aNow);
    }
  }

  void RaiseFencingFloors(instant aNow)
  {
    if (mLedgerA.RaiseFencingFloor(kHolder, kA, aNow)) {
      mProof.OnFencingFloorAcknowledged(kA);
    }
    if (mLedgerB.RaiseFencingFloor(kHolder, kB, aNow)) {
      mProof.OnFencingFloorAcknowledged(kB);
    }
  }

  bool IsRetiredWhileHeld(instant aNow) const
  {
    return mLease.Holds(aNow) && mProof.IsComplete(aNow);
  }

  lease_timing mTiming;
  lease_holder mLease;
  witness_ledger mLedgerA;
  witness_ledger mLedgerB;
  retirement_proof mProof;
};

lease_rules
Without(bool lease_rules::*aRule)
{
  lease_rules rules;
  rules.*aRule = false;
  return rules;
}

BOOST_AUTO_TEST_SUITE(node_lease)

BOOST_AUTO_TEST_CASE(
  expires_a_ttl_less_the_drift_margin_after_the_round_was_sent)
{
  lease_fixture fixture;
  fixture.Renew(kStart);
  BOOST_CHECK(fixture.mLease.Holds(kStart + milliseconds(989)));
  BOOST_CHECK(!fixture.mLease.Holds(kStart + milliseconds(990)));
}

BOOST_AUTO_TEST_CASE(needs_a_majority)
{
  lease_fixture fixture;
  const vouch_round round = fixture.mLease.BeginRound(kStart);
  fixture.mLease.OnVouch(kA, round.mNumber, kStart);
  fixture.mLease.OnVouch(kA, round.mNumber, kStart);
  BOOST_CHECK(!fixture.mLease.Holds(kStart));
}

BOOST_AUTO_TEST_CASE(is_not_extended_by_a_late_reply)
{
  const auto holds_after_late_reply = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    const vouch_round round = fixture.mLease.BeginRound(kStart);
    (void)fixture.mLedgerA.Vouch(kHolder, kA, kStart);
    (void)fixture.mLedgerB.Vouch(kHolder, kB, kStart);
    const instant answers = kStart + seconds(2);
    fixture.RaiseFencingFloors(answers);
    fixture.mLease.OnVouch(kA, round.mNumber, answers);
    fixture.mLease.OnVouch(kB, round.mNumber, answers);
    return fixture.IsRetiredWhileHeld(answers);
  };
  BOOST_CHECK(!holds_after_late_reply({}));
  BOOST_CHECK(
    holds_after_late_reply(Without(&lease_rules::mCountFromSendTime)));
}

BOOST_AUTO_TEST_CASE(expires_before_a_witness_acknowledges_the_fencing_floor)
{
  const auto holds_after_early_request = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    fixture.Renew(kStart);
    fixture.RaiseFencingFloors(kStart + milliseconds(10));
    return fixture.IsRetiredWhileHeld(kStart + milliseconds(10));
  };
  BOOST_CHECK(!holds_after_early_request({}));
  BOOST_CHECK(holds_after_early_request(
    Without(&lease_rules::mFencingFloorWaitsForVouch)));
}

BOOST_AUTO_TEST_CASE(is_not_proved_expired_before_a_majority_acknowledges)
{
  const auto holds_without_majority = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    fixture.Renew(kStart);
    fixture.mProof.OnFencingFloorAcknowledged(kC);
    return fixture.IsRetiredWhileHeld(kStart);
  };
  BOOST_CHECK(!holds_without_majority({}));
  BOOST_CHECK(
    holds_without_majority(Without(&lease_rules::mFencingFloorsAreRequested)));
}

BOOST_AUTO_TEST_CASE(is_proved_expired_once_a_majority_acknowledged)
{
  lease_fixture fixture;
  fixture.Renew(kStart);
  const instant after = kStart + milliseconds(1010);
  fixture.RaiseFencingFloors(after);
  BOOST_CHECK(fixture.mProof.IsComplete(after));
  fixture.Renew(after);
  BOOST_CHECK(!fixture.mLease.Holds(after));
}

BOOST_AUTO_TEST_CASE(is_not_vouched_for_by_a_restarted_witness)
{
  const auto holds_after_witness_restart = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    fixture.Renew(kStart);
    fixture.RaiseFencingFloors(kStart + seconds(2));
    // Both come back with nothing in memory, as other incarnations.
    fixture.mLedgerA = witness_ledger(MakeIdentity("a", 2), fixture.mTiming);
    fixture.mLedgerB = witness_ledger(MakeIdentity("b", 2), fixture.mTiming);
    fixture.Renew(kStart + seconds(3));
    return fixture.IsRetiredWhileHeld(kStart + seconds(3));
  };
  BOOST_CHECK(!holds_after_witness_restart({}));
  BOOST_CHECK(holds_after_witness_restart(
    Without(&lease_rules::mWitnessChecksIncarnation)));
}

BOOST_AUTO_TEST_CASE(needs_both_witness_sets_while_a_change_is_unresolved)
{
  const auto holds_with_unresolved_change = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    const witness_set others{ MakeIdentity("d", 1),
                              MakeIdentity("e", 1),
                              MakeIdentity("f", 1) };
    // The change took effect, its answer is lost, and a taker fences.
    fixture.mLease.BeginWrite(kStart - seconds(5), others);
    fixture.mLease.WriteUnknown();
    retirement_proof proof(
      kHolder, others, kStart - seconds(5), fixture.mTiming);
    proof.OnFencingFloorAcknowledged(others[0]);
    proof.OnFencingFloorAcknowledged(others[1]);
    fixture.Renew(kStart);
    return fixture.mLease.Holds(kStart) && proof.IsComplete(kStart);
  };
  BOOST_CHECK(!holds_with_unresolved_change({}));
  BOOST_CHECK(holds_with_unresolved_change(
    Without(&lease_rules::mPendingSetsAreRequired)));
}

BOOST_AUTO_TEST_CASE(on_the_old_witness_set_is_waited_out_after_a_change)
{
  const auto holds_right_after_change = [](lease_rules aRules) {
    lease_fixture fixture(aRules);
    fixture.Renew(kStart);
    const witness_set others{ MakeIdentity("d", 1),
                              MakeIdentity("e", 1),
                              MakeIdentity("f", 1) };
    const instant fenced = kStart + milliseconds(5);
    retirement_proof proof(kHolder, others, fenced, fixture.mTiming);
    proof.OnFencingFloorAcknowledged(others[0]);
    proof.OnFencingFloorAcknowledged(others[1]);
    return fixture.mLease.Holds(fenced) && proof.IsComplete(fenced);
  };
  BOOST_CHECK(!holds_right_after_change({}));
  BOOST_CHECK(
    holds_right_after_change(Without(&lease_rules::mCoordinatorWaits)));
}

BOOST_AUTO_TEST_CASE(tolerates_clock_drift_up_to_the_margin)
{
  const auto holds_with_margin = [](duration aMargin) {
    lease_timing timing;
    timing.mDriftMargin = aMargin;
    lease_holder lease(kHolder, timing);
    lease.BeginWrite(kStart - seconds(10), { kA });
    lease.WriteSucceeded();
    witness_ledger ledger(kA, timing);
    const vouch_round round = lease.BeginRound(kStart);
    (void)ledger.Vouch(kHolder, kA, kStart);
    lease.OnVouch(kA, round.mNumber, kStart);
    // The witness's clock runs 1% fast, the holder's is right.
    const duration passed = milliseconds(995);
    const instant true_time = kStart + passed;
    const instant witness_time = kStart + passed * 101 / 100;
    return ledger.RaiseFencingFloor(kHolder, kA, witness_time) &&
           lease.Holds(true_time);
  };
  BOOST_CHECK(!holds_with_margin(lease_timing().mDriftMargin));
  BOOST_CHECK(holds_with_margin(duration(0)));
}

BOOST_AUTO_TEST_CASE(
  is_proved_expired_after_the_grace_period_of_retired_witnesses)
{
  lease_fixture fixture;
  const instant observed = kStart;
  fixture.mProof.OnWitnessRetired(kA, observed, false);
  fixture.mProof.OnWitnessRetired(kB, observed, true);
  BOOST_CHECK(!fixture.mProof.IsComplete(observed + seconds(30)));
  BOOST_CHECK(fixture.mProof.IsComplete(observed + milliseconds(31010)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
