#include "plantaindale/lease/lease_holder.h"

#include <algorithm>

namespace plantaindale {
namespace {

// Rounds that are remembered; more than fit into one TTL.
constexpr std::size_t kMaxStoredRounds = 8;
// An answer takes no longer, also from another region.
constexpr duration kMaxReplyDelay = std::chrono::milliseconds(250);

bool
Contains(const std::vector<node_identity>& aSet, const node_identity& aNode)
{
  return std::find(aSet.begin(), aSet.end(), aNode) != aSet.end();
}

bool
HasMajority(const witness_set& aSet, const std::vector<node_identity>& aVouched)
{
  const auto count =
    std::count_if(aSet.begin(), aSet.end(), [&](const auto& aWitness) {
      return Contains(aVouched, aWitness);
    });
  // An empty set never has one: then the platform vouches, by own writes.
  return 2 * static_cast<std::size_t>(count) > aSet.size();
}

} // namespace

lease_holder::lease_holder(node_identity aSelf, lease_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

void
lease_holder::BeginWrite(instant aNow, witness_set aWitnesses)
{
  mWriteSentAt = aNow;
  mPending.push_back(std::move(aWitnesses));
}

void
lease_holder::WriteSucceeded()
{
  if (mCommitted != mPending.back()) {
    mHasVouchSinceChange = false;
  }
  mCommitted = mPending.back();
  mPending.clear();
  // The record was active after the write was sent, so nobody had fenced it
  // before; a taker waits a TTL after its fence.
  ExtendFrom(mWriteSentAt);
}

void
lease_holder::WriteRefused()
{
  mPending.pop_back();
}

void
lease_holder::WriteUnknown()
{
  // The set stays pending until a later write succeeds. One copy is enough.
  const witness_set newest = mPending.back();
  mPending.pop_back();
  if (std::find(mPending.begin(), mPending.end(), newest) == mPending.end()) {
    mPending.push_back(newest);
  }
}

void
lease_holder::Revoke()
{
  mIsRevoked = true;
  mLeaseUntil = kNever;
}

vouch_round
lease_holder::BeginRound(instant aNow)
{
  open_round round{ mNextRound++, aNow, RequiredWitnessSets(), {} };
  vouch_round asked;
  asked.mNumber = round.mNumber;
  for (const witness_set& set : round.mRequired) {
    for (const node_identity& witness : set) {
      if (!Contains(asked.mWitnesses, witness)) {
        asked.mWitnesses.push_back(witness);
      }
    }
  }
  mRounds.push_back(std::move(round));
  if (mRounds.size() > kMaxStoredRounds) {
    mRounds.pop_front();
  }
  return asked;
}

void
lease_holder::OnVouch(const node_identity& aWitness,
                      std::int64_t aRound,
                      instant aNow)
{
  const auto found =
    std::find_if(mRounds.begin(), mRounds.end(), [&](const auto& aOpen) {
      return aOpen.mNumber == aRound;
    });
  if (found == mRounds.end() || Contains(found->mVouched, aWitness)) {
    return;
  }
  found->mVouched.push_back(aWitness);
  mHasVouchSinceChange = true;
  if (IsComplete(*found)) {
    ExtendFrom(mTiming.mRules.mCountFromSendTime ? found->mSentAt : aNow);
  }
}

std::int64_t
lease_holder::LastVouchedRound(const node_identity& aWitness) const
{
  for (auto round = mRounds.rbegin(); round != mRounds.rend(); ++round) {
    if (Contains(round->mVouched, aWitness)) {
      return round->mNumber;
    }
  }
  return 0;
}

int
lease_holder::ConsecutiveMissedRounds(const node_identity& aWitness,
                                      instant aNow) const
{
  int missed = 0;
  for (auto round = mRounds.rbegin(); round != mRounds.rend(); ++round) {
    if (aNow < round->mSentAt + kMaxReplyDelay) {
      continue;
    }
    const bool was_asked =
      std::any_of(round->mRequired.begin(),
                  round->mRequired.end(),
                  [&](const auto& aSet) { return Contains(aSet, aWitness); });
    if (!was_asked || Contains(round->mVouched, aWitness)) {
      break;
    }
    ++missed;
  }
  return missed;
}

bool
lease_holder::IsComplete(const open_round& aRound) const
{
  return std::all_of(
    aRound.mRequired.begin(), aRound.mRequired.end(), [&](const auto& aSet) {
      return HasMajority(aSet, aRound.mVouched);
    });
}

void
lease_holder::ExtendFrom(instant aSentAt)
{
  if (mIsRevoked) {
    return;
  }
  mLeaseUntil =
    std::max(mLeaseUntil, aSentAt + mTiming.mTtl - mTiming.mDriftMargin);
}

std::vector<witness_set>
lease_holder::RequiredWitnessSets() const
{
  std::vector<witness_set> sets{ mCommitted };
  if (!mTiming.mRules.mPendingSetsAreRequired) {
    return sets;
  }
  for (const witness_set& pending : mPending) {
    if (std::find(sets.begin(), sets.end(), pending) == sets.end()) {
      sets.push_back(pending);
    }
  }
  return sets;
}

} // namespace plantaindale
