#include "plantaindale/placement/shard_assigner.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {

shard_assigner::shard_assigner(const cluster_view& aView,
                               std::string_view aService,
                               std::string_view aExcludedNode)
{
  absl::flat_hash_map<std::string, std::size_t> candidate_indices;
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.AcceptsWork(aService) && name != aExcludedNode) {
      candidate_indices[name] = mCandidates.size();
      mCandidates.push_back({ record.mIdentity, 0 });
    }
  }
  const service_configuration* service = aView.Configuration().Find(aService);
  if (service == nullptr) {
    return;
  }
  const int candidate_count = std::max(static_cast<int>(mCandidates.size()), 1);
  mShards = service->mShards;
  mFairShare = (mShards + candidate_count - 1) / candidate_count;
  for (int page = 0; page < PageCount(service->mShards); ++page) {
    const auto stored = aView.FindPage(aService, page);
    if (stored == nullptr) {
      continue;
    }
    for (const shard_entry& entry : stored->mEntries) {
      const auto place = candidate_indices.find(entry.mOwner.name);
      if (place != candidate_indices.end()) {
        ++mCandidates[place->second].mShards;
      }
    }
  }
}

std::optional<node_identity>
shard_assigner::Assign(const shard_id& aShard)
{
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  const bool extends_run = aShard.mIndex == mLastShard + 1 && mLastShard >= 0 &&
                           mCandidates[mLastCandidate].mShards < mFairShare;
  mLastShard = aShard.mIndex;
  if (extends_run) {
    ++mCandidates[mLastCandidate].mShards;
    return mCandidates[mLastCandidate].mIdentity;
  }
  const std::string subject = ToText(aShard);
  const auto least_loaded =
    std::min_element(mCandidates.begin(),
                     mCandidates.end(),
                     [&](const auto& aA, const auto& aB) {
                       if (aA.mShards != aB.mShards) {
                         return aA.mShards < aB.mShards;
                       }
                       return RendezvousScore(subject, aA.mIdentity.name) <
                              RendezvousScore(subject, aB.mIdentity.name);
                     });
  ++least_loaded->mShards;
  mLastCandidate = static_cast<std::size_t>(least_loaded - mCandidates.begin());
  return least_loaded->mIdentity;
}

std::optional<node_identity>
shard_assigner::InitialOwner(const shard_id& aShard) const
{
  if (mCandidates.empty() || aShard.mIndex >= mShards) {
    return std::nullopt;
  }
  const std::size_t part = static_cast<std::size_t>(aShard.mIndex) *
                           mCandidates.size() /
                           static_cast<std::size_t>(mShards);
  return mCandidates[part].mIdentity;
}

std::optional<node_identity>
shard_assigner::RestartedOwner(const node_identity& aFormer)
{
  const auto found = std::find_if(
    mCandidates.begin(), mCandidates.end(), [&](const auto& aCandidate) {
      return aCandidate.mIdentity.name == aFormer.name &&
             aCandidate.mIdentity.incarnation > aFormer.incarnation;
    });
  if (found == mCandidates.end()) {
    return std::nullopt;
  }
  return found->mIdentity;
}

} // namespace plantaindale
