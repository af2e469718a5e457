#include "plantaindale/lease/retirement.h"

#include <algorithm>

namespace plantaindale {

retirement::retirement(node_identity aVictim,
                       std::vector<node_identity> aWitnesses,
                       instant aUnchangedSince,
                       lease_timing aTiming)
  : mVictim(std::move(aVictim))
  , mUnchangedSince(aUnchangedSince)
  , mTiming(aTiming)
{
  for (node_identity& witness : aWitnesses) {
    mWitnesses.push_back({ std::move(witness), false, instant::max() });
  }
}

retirement::witness_state*
retirement::Find(const node_identity& aWitness)
{
  const auto found =
    std::find_if(mWitnesses.begin(), mWitnesses.end(), [&](const auto& aState) {
      return aState.mWitness == aWitness;
    });
  return found == mWitnesses.end() ? nullptr : &*found;
}

void
retirement::OnFloorAcknowledged(const node_identity& aWitness)
{
  if (witness_state* state = Find(aWitness)) {
    state->mAcknowledged = true;
  }
}

void
retirement::OnWitnessRetired(const node_identity& aWitness,
                             instant aLearntAt,
                             bool aIsGone)
{
  witness_state* state = Find(aWitness);
  if (state == nullptr) {
    return;
  }
  const instant last_vouch =
    aLearntAt + (aIsGone ? duration(0) : mTiming.mGrace);
  const instant silent_from = last_vouch + mTiming.mTtl + mTiming.mDriftMargin;
  state->mSilentFrom = std::min(state->mSilentFrom, silent_from);
}

std::vector<node_identity>
retirement::ToAsk() const
{
  std::vector<node_identity> asked;
  for (const witness_state& state : mWitnesses) {
    if (!state.mAcknowledged) {
      asked.push_back(state.mWitness);
    }
  }
  return asked;
}

bool
retirement::IsComplete(instant aNow) const
{
  const auto counted = std::count_if(
    mWitnesses.begin(), mWitnesses.end(), [&](const auto& aState) {
      return aState.mAcknowledged || aNow >= aState.mSilentFrom;
    });
  const bool has_majority =
    mWitnesses.empty() || !mTiming.mRules.mFloorsAreAsked ||
    2 * static_cast<std::size_t>(counted) > mWitnesses.size();
  const instant quiet_from =
    mUnchangedSince + mTiming.mTtl + mTiming.mDriftMargin;
  const bool is_quiet = aNow >= quiet_from || !mTiming.mRules.mTakerWaits;
  return has_majority && is_quiet;
}

} // namespace plantaindale
