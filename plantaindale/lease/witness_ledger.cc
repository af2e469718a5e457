#include "plantaindale/lease/witness_ledger.h"

#include <algorithm>

#include "plantaindale/base/error.h"

namespace plantaindale {

witness_ledger::witness_ledger(node_identity aSelf, lease_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

absl::Status
witness_ledger::Vouch(const node_identity& aHolder,
                      const node_identity& aWitness,
                      instant aNow)
{
  if (aWitness != mSelf && mTiming.mRules.mWitnessChecksIncarnation) {
    return MakeError(absl::StatusCode::kFailedPrecondition,
                     "vouch",
                     ToText(aHolder),
                     "another incarnation was asked");
  }
  witnessed_holder& holder = mHolders[aHolder.name];
  if (aHolder.incarnation <= holder.mFencedThrough) {
    return MakeError(absl::StatusCode::kPermissionDenied,
                     "vouch",
                     ToText(aHolder),
                     "below the floor");
  }
  const instant end = aNow + mTiming.mTtl + mTiming.mDriftMargin;
  holder.mVouchEnd = std::max(holder.mVouchEnd, end);
  holder.mIncarnation = std::max(holder.mIncarnation, aHolder.incarnation);
  return absl::OkStatus();
}

bool
witness_ledger::RaiseFencingFloor(const node_identity& aHolder,
                                  const node_identity& aWitness,
                                  instant aNow)
{
  if (aWitness != mSelf && mTiming.mRules.mWitnessChecksIncarnation) {
    return false;
  }
  witnessed_holder& holder = mHolders[aHolder.name];
  holder.mFencedThrough = std::max(holder.mFencedThrough, aHolder.incarnation);
  return holder.mVouchEnd <= aNow || !mTiming.mRules.mFencingFloorWaitsForVouch;
}

void
witness_ledger::DropRetired(const std::string& aName,
                            std::int64_t aRetiredThrough)
{
  const auto found = mHolders.find(aName);
  if (found != mHolders.end() &&
      found->second.mIncarnation <= aRetiredThrough &&
      found->second.mFencedThrough <= aRetiredThrough) {
    mHolders.erase(found);
  }
}

} // namespace plantaindale
