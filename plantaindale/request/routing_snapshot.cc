#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

const shard_entry*
routing_snapshot::FindEntry(const shard_id& aShard) const
{
  const auto found =
    mPages.find(PageName(aShard.mService, aShard.mIndex / kShardsPerPage));
  const std::size_t place =
    static_cast<std::size_t>(aShard.mIndex % kShardsPerPage);
  if (found == mPages.end() || place >= found->second->mEntries.size()) {
    return nullptr;
  }
  return &found->second->mEntries[place];
}

bool
routing_snapshot::IsEvacuated(std::string_view aService) const
{
  if (!mHasEvacuations) {
    return false;
  }
  bool has_evacuated = false;
  for (const auto& [name, record] : *mNodes) {
    if (record.AcceptsWork(aService)) {
      return false;
    }
    has_evacuated = has_evacuated || (record.mIsEvacuated && record.mServer &&
                                      record.mServer->mService == aService);
  }
  return has_evacuated;
}

const node_record*
routing_snapshot::FindActing(const node_identity& aIdentity) const
{
  const auto found = mNodes->find(aIdentity.name);
  const bool acts = found != mNodes->end() &&
                    found->second.mIdentity == aIdentity &&
                    found->second.IsActive() && !found->second.mIsEvacuated;
  return acts ? &found->second : nullptr;
}

bool
routing_snapshot::HasEnded(const node_identity& aIdentity,
                           std::string_view aPeer) const
{
  const auto found = mNodes->find(aIdentity.name);
  if (found == mNodes->end()) {
    return false;
  }
  const node_record& record = found->second;
  if (record.mIdentity.incarnation > aIdentity.incarnation) {
    return record.mAddresses.mPeer != aPeer;
  }
  return record.mState == node_state::kFenced ||
         record.mState == node_state::kRetired;
}

} // namespace plantaindale
