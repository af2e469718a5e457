// Each rule that closes a hole of the lease, as a small story: with the rule a
// node is never retired while it holds a lease; without it, it is.
#include "plantaindale/lease/lease_holder.h"
#include "plantaindale/lease/retirement.h"
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
struct story
{
  explicit story(lease_rules aRules = {})
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

  void AskFloors(instant aNow)
  {
    if (mLedgerA.RaiseFloor(kHolder, kA, aNow)) {
      mProof.OnFloorAcknowledged(kA);
    }
    if (mLedgerB.RaiseFloor(kHolder, kB, aNow)) {
      mProof.OnFloorAcknowledged(kB);
    }
  }

  bool HasTwoOwners(instant aNow) const
  {
    return mLease.Holds(aNow) && mProof.IsComplete(aNow);
  }

  lease_timing mTiming;
  lease_holder mLease;
  witness_ledger mLedgerA;
  witness_ledger mLedgerB;
  retirement mProof;
};

lease_rules
Without(bool lease_rules::*aRule)
{
  lease_rules rules;
  rules.*aRule = false;
  return rules;
}

BOOST_AUTO_TEST_SUITE(the_lease_of_a_node)

BOOST_AUTO_TEST_CASE(lasts_a_ttl_less_the_margin_from_the_sending)
{
  story told;
  told.Renew(kStart);
  BOOST_CHECK(told.mLease.Holds(kStart + milliseconds(989)));
  BOOST_CHECK(!told.mLease.Holds(kStart + milliseconds(990)));
}

BOOST_AUTO_TEST_CASE(needs_a_majority)
{
  story told;
  const vouch_round round = told.mLease.BeginRound(kStart);
  told.mLease.OnVouch(kA, round.mNumber, kStart);
  told.mLease.OnVouch(kA, round.mNumber, kStart);
  BOOST_CHECK(!told.mLease.Holds(kStart));
}

BOOST_AUTO_TEST_CASE(is_not_extended_by_a_late_answer)
{
  const auto late = [](lease_rules aRules) {
    story told(aRules);
    const vouch_round round = told.mLease.BeginRound(kStart);
    (void)told.mLedgerA.Vouch(kHolder, kA, kStart);
    (void)told.mLedgerB.Vouch(kHolder, kB, kStart);
    const instant answers = kStart + seconds(2);
    told.AskFloors(answers);
    told.mLease.OnVouch(kA, round.mNumber, answers);
    told.mLease.OnVouch(kB, round.mNumber, answers);
    return told.HasTwoOwners(answers);
  };
  BOOST_CHECK(!late({}));
  BOOST_CHECK(late(Without(&lease_rules::mCountFromSending)));
}

BOOST_AUTO_TEST_CASE(ends_before_a_witness_acknowledges_the_floor)
{
  const auto early = [](lease_rules aRules) {
    story told(aRules);
    told.Renew(kStart);
    told.AskFloors(kStart + milliseconds(10));
    return told.HasTwoOwners(kStart + milliseconds(10));
  };
  BOOST_CHECK(!early({}));
  BOOST_CHECK(early(Without(&lease_rules::mFloorWaitsForVouch)));
}

BOOST_AUTO_TEST_CASE(is_not_over_before_a_majority_acknowledges_the_floor)
{
  const auto unasked = [](lease_rules aRules) {
    story told(aRules);
    told.Renew(kStart);
    told.mProof.OnFloorAcknowledged(kC);
    return told.HasTwoOwners(kStart);
  };
  BOOST_CHECK(!unasked({}));
  BOOST_CHECK(unasked(Without(&lease_rules::mFloorsAreAsked)));
}

BOOST_AUTO_TEST_CASE(is_over_once_the_floors_are_acknowledged)
{
  story told;
  told.Renew(kStart);
  const instant after = kStart + milliseconds(1010);
  told.AskFloors(after);
  BOOST_CHECK(told.mProof.IsComplete(after));
  told.Renew(after);
  BOOST_CHECK(!told.mLease.Holds(after));
}

BOOST_AUTO_TEST_CASE(is_not_vouched_for_by_a_restarted_witness)
{
  const auto restarted = [](lease_rules aRules) {
    story told(aRules);
    told.Renew(kStart);
    told.AskFloors(kStart + seconds(2));
    // Both come back with nothing in memory, as other incarnations.
    told.mLedgerA = witness_ledger(MakeIdentity("a", 2), told.mTiming);
    told.mLedgerB = witness_ledger(MakeIdentity("b", 2), told.mTiming);
    told.Renew(kStart + seconds(3));
    return told.HasTwoOwners(kStart + seconds(3));
  };
  BOOST_CHECK(!restarted({}));
  BOOST_CHECK(restarted(Without(&lease_rules::mWitnessIsOneIncarnation)));
}

BOOST_AUTO_TEST_CASE(rests_on_both_sets_while_a_change_is_in_doubt)
{
  const auto in_doubt = [](lease_rules aRules) {
    story told(aRules);
    const witness_set others{ MakeIdentity("d", 1),
                              MakeIdentity("e", 1),
                              MakeIdentity("f", 1) };
    // The change took effect, its answer is lost, and a taker fences.
    told.mLease.BeginWrite(kStart - seconds(5), others);
    told.mLease.WriteUnknown();
    retirement proof(kHolder, others, kStart - seconds(5), told.mTiming);
    proof.OnFloorAcknowledged(others[0]);
    proof.OnFloorAcknowledged(others[1]);
    told.Renew(kStart);
    return told.mLease.Holds(kStart) && proof.IsComplete(kStart);
  };
  BOOST_CHECK(!in_doubt({}));
  BOOST_CHECK(in_doubt(Without(&lease_rules::mPendingSetsCount)));
}

BOOST_AUTO_TEST_CASE(that_rests_on_the_old_set_is_waited_out_after_a_change)
{
  const auto just_changed = [](lease_rules aRules) {
    story told(aRules);
    told.Renew(kStart);
    const witness_set others{ MakeIdentity("d", 1),
                              MakeIdentity("e", 1),
                              MakeIdentity("f", 1) };
    const instant fenced = kStart + milliseconds(5);
    retirement proof(kHolder, others, fenced, told.mTiming);
    proof.OnFloorAcknowledged(others[0]);
    proof.OnFloorAcknowledged(others[1]);
    return told.mLease.Holds(fenced) && proof.IsComplete(fenced);
  };
  BOOST_CHECK(!just_changed({}));
  BOOST_CHECK(just_changed(Without(&lease_rules::mTakerWaits)));
}

BOOST_AUTO_TEST_CASE(is_safe_from_clocks_that_differ_by_the_stated_bound)
{
  const auto drifting = [](duration aMargin) {
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
    return ledger.RaiseFloor(kHolder, kA, witness_time) &&
           lease.Holds(true_time);
  };
  BOOST_CHECK(!drifting(lease_timing().mDriftMargin));
  BOOST_CHECK(drifting(duration(0)));
}

BOOST_AUTO_TEST_CASE(of_a_node_whose_witnesses_are_gone_is_proved_over_in_time)
{
  story told;
  const instant learnt = kStart;
  told.mProof.OnWitnessRetired(kA, learnt, false);
  told.mProof.OnWitnessRetired(kB, learnt, true);
  BOOST_CHECK(!told.mProof.IsComplete(learnt + seconds(30)));
  BOOST_CHECK(told.mProof.IsComplete(learnt + milliseconds(31010)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
