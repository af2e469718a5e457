#include "plantaindale/lease/retirement_proof.h"

#include <algorithm>

namespace plantaindale {

retirement_proof::retirement_proof(node_identity aFencedNode,
                                   std::vector<node_identity> aWitnesses,
                                   instant aRecordUnchangedSince,
                                   lease_timing aTiming)
  : mFencedNode(std::move(aFencedNode))
  , mRecordUnchangedSince(aRecordUnchangedSince)
  , mTiming(aTiming)
{
  for (node_identity& witness : aWitnesses) {
    mWitnesses.push_back({ std::move(witness), false, instant::max() });
  }
}

retirement_proof::witness_state*
retirement_proof::FindWitness(const node_identity& aWitness)
{
  const auto found =
    std::find_if(mWitnesses.begin(), mWitnesses.end(), [&](const auto& aState) {
      return aState.mWitness == aWitness;
    });
  return found == mWitnesses.end() ? nullptr : &*found;
}

void
retirement_proof::OnFencingFloorAcknowledged(const node_identity& aWitness)
{
  if (witness_state* state = FindWitness(aWitness)) {
    state->mAcknowledged = true;
  }
}

void
retirement_proof::OnWitnessRetired(const node_identity& aWitness,
                                   instant aObservedAt,
                                   bool aHasStopped)
{
  witness_state* state = FindWitness(aWitness);
  if (state == nullptr) {
    return;
  }
  const instant last_vouch =
    aObservedAt + (aHasStopped ? duration(0) : mTiming.mGrace);
  const instant vouches_end = last_vouch + mTiming.mTtl + mTiming.mDriftMargin;
  state->mVouchesEndAt = std::min(state->mVouchesEndAt, vouches_end);
}

std::vector<node_identity>
retirement_proof::UnacknowledgedWitnesses() const
{
  std::vector<node_identity> unacknowledged;
  for (const witness_state& state : mWitnesses) {
    if (!state.mAcknowledged) {
      unacknowledged.push_back(state.mWitness);
    }
  }
  return unacknowledged;
}

bool
retirement_proof::IsComplete(instant aNow) const
{
  const auto confirmed = std::count_if(
    mWitnesses.begin(), mWitnesses.end(), [&](const auto& aState) {
      return aState.mAcknowledged || aNow >= aState.mVouchesEndAt;
    });
  const bool has_majority =
    mWitnesses.empty() || !mTiming.mRules.mFencingFloorsAreRequested ||
    2 * static_cast<std::size_t>(confirmed) > mWitnesses.size();
  const instant wait_end =
    mRecordUnchangedSince + mTiming.mTtl + mTiming.mDriftMargin;
  const bool has_waited = aNow >= wait_end || !mTiming.mRules.mCoordinatorWaits;
  return has_majority && has_waited;
}

} // namespace plantaindale
