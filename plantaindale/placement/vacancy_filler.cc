#include "plantaindale/placement/vacancy_filler.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "plantaindale/membership/witness_choice.h"

namespace plantaindale {

vacancy_filler::vacancy_filler(const cluster_view& aView,
                               std::string_view aService,
                               std::string_view aExcept)
{
  absl::flat_hash_map<std::string, std::size_t> places;
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.TakesWork(aService) && name != aExcept) {
      places[name] = mCandidates.size();
      mCandidates.push_back({ record.mIdentity, 0 });
    }
  }
  const service_configuration* service = aView.Configuration().Find(aService);
  if (service == nullptr) {
    return;
  }
  const int takers = std::max(static_cast<int>(mCandidates.size()), 1);
  mShards = service->mShards;
  mShare = (mShards + takers - 1) / takers;
  for (int page = 0; page < PageCount(service->mShards); ++page) {
    const auto stored = aView.FindPage(aService, page);
    if (stored == nullptr) {
      continue;
    }
    for (const shard_entry& entry : stored->mEntries) {
      const auto place = places.find(entry.mOwner.name);
      if (place != places.end()) {
        ++mCandidates[place->second].mShards;
      }
    }
  }
}

std::optional<node_identity>
vacancy_filler::Take(const shard_id& aShard)
{
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  const bool continues = aShard.mIndex == mLastShard + 1 && mLastShard >= 0 &&
                         mCandidates[mLastTaker].mShards < mShare;
  mLastShard = aShard.mIndex;
  if (continues) {
    ++mCandidates[mLastTaker].mShards;
    return mCandidates[mLastTaker].mIdentity;
  }
  const std::string subject = ToText(aShard);
  const auto least =
    std::min_element(mCandidates.begin(),
                     mCandidates.end(),
                     [&](const auto& aA, const auto& aB) {
                       if (aA.mShards != aB.mShards) {
                         return aA.mShards < aB.mShards;
                       }
                       return RendezvousScore(subject, aA.mIdentity.name) <
                              RendezvousScore(subject, aB.mIdentity.name);
                     });
  ++least->mShards;
  mLastTaker = static_cast<std::size_t>(least - mCandidates.begin());
  return least->mIdentity;
}

std::optional<node_identity>
vacancy_filler::FirstOwner(const shard_id& aShard) const
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
vacancy_filler::Successor(const node_identity& aFormer)
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
