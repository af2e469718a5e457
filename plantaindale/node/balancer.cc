#include "plantaindale/node/balancer.h"

#include <algorithm>

namespace plantaindale {
namespace {

// Share of the newest report in a shard's load; reports come every 250 ms.
constexpr double kLoadSmoothing = 0.2;
// A shard that has just come stays at least so long: its move cost a cold
// start.
constexpr duration kMinResidenceTime = std::chrono::seconds(5);
// Changes that come close together are looked at together.
constexpr duration kChangeBatchInterval = std::chrono::milliseconds(20);
// Between two moves that this node begins.
constexpr duration kMoveInterval = std::chrono::milliseconds(500);
// The load of shards that have come is known after two reports.
constexpr duration kLoadSettleTime = std::chrono::milliseconds(600);
// Below this part of the mean number of shards a node asks for more.
constexpr double kUnderloadedRatio = 0.5;

} // namespace

void
balancer::OnTraffic(const traffic_report& aReport)
{
  for (auto& [index, shard] : mOwned) {
    const auto measured = aReport.mShardLoads.find({ mService, index });
    const double newest =
      measured == aReport.mShardLoads.end() ? 0 : measured->second;
    // The first reports of a shard are all that is known of it.
    ++shard.mReports;
    const double share = std::max(kLoadSmoothing, 1.0 / shard.mReports);
    shard.mLoad += share * (newest - shard.mLoad);
  }
}

void
balancer::Step(instant aNow,
               const cluster_view& aView,
               const node_identity& aSelf,
               std::string_view aService)
{
  if (aView.Generation() == mSeenGeneration || aNow < mNextChangeCheck) {
    return;
  }
  mSeenGeneration = aView.Generation();
  mNextChangeCheck = aNow + kChangeBatchInterval;
  if (mService != aService || mSelf != aSelf) {
    mService = aService;
    mSelf = aSelf;
    mOwned.clear();
    mSeenPages.clear();
  }
  const service_configuration* service = aView.Configuration().Find(mService);
  const int shards = service == nullptr ? 0 : service->mShards;
  for (int page = 0; page < PageCount(shards); ++page) {
    const auto stored = aView.FindPage(mService, page);
    if (stored != nullptr && mSeenPages[page] != stored->mRevision) {
      mSeenPages[page] = stored->mRevision;
      UpdateOwnedShards(aNow, *stored, aSelf);
    }
  }
  const auto eligible_nodes = std::count_if(
    aView.Nodes().begin(), aView.Nodes().end(), [&](const auto& aNode) {
      return aNode.second.AcceptsWork(mService);
    });
  const double mean =
    eligible_nodes == 0
      ? 0
      : static_cast<double>(shards) / static_cast<double>(eligible_nodes);
  mIsUnderloaded =
    static_cast<double>(mOwned.size()) < kUnderloadedRatio * mean;
}

void
balancer::UpdateOwnedShards(instant aNow,
                            const shard_page& aPage,
                            const node_identity& aSelf)
{
  for (std::size_t place = 0; place < aPage.mEntries.size(); ++place) {
    const shard_entry& entry = aPage.mEntries[place];
    const int index = aPage.FirstShard() + static_cast<int>(place);
    if (entry.mOwner != aSelf) {
      mOwned.erase(index);
      continue;
    }
    owned_shard& owned = mOwned[index];
    if (owned.mEpoch != entry.mEpoch) {
      owned = { 0, 0, aNow, entry.mEpoch };
      mLastGainAt = aNow;
    }
  }
}

void
balancer::OnDigest(const protocol::digest& aDigest,
                   instant aNow,
                   const cluster_view& aView,
                   const node_identity& aSelf,
                   shard_manager& aShards,
                   action_list& aActions)
{
  const node_record* peer = aView.FindNode(aDigest.sender);
  const bool may_move = aDigest.takes_shards &&
                        aDigest.service_name == mService && peer != nullptr &&
                        peer->AcceptsWork(mService) && aNow >= mNextMove &&
                        aShards.ActiveMoves() == 0;
  const service_configuration* service = aView.Configuration().Find(mService);
  if (!may_move || service == nullptr) {
    return;
  }
  std::vector<shard_load> shards;
  for (const auto& [index, shard] : mOwned) {
    const bool is_fresh =
      shard.mEpoch > 1 && aNow < shard.mOwnedSince + kMinResidenceTime;
    shards.push_back({ index, shard.mLoad + kIdleShardLoad, is_fresh });
  }
  const node_record* self = aView.FindNode(aSelf);
  const bool is_known = self != nullptr && self->mServer;
  const int slots = is_known ? std::max(self->mServer->mSlots, 1) : 1;
  for (const std::size_t choice : ChooseShardsToMove(
         { shards, aDigest.load, service->mWeights, Load() / slots })) {
    mNextMove = aNow + kMoveInterval;
    aShards.StartMove({ mService, shards[choice].mShard },
                      aDigest.sender,
                      aNow,
                      aView,
                      aSelf,
                      aActions);
  }
}

bool
balancer::HasNewShards(instant aNow) const
{
  return aNow < mLastGainAt + kLoadSettleTime;
}

double
balancer::Load() const
{
  double load = 0;
  for (const auto& [index, shard] : mOwned) {
    load += shard.mLoad + kIdleShardLoad;
  }
  return load;
}

} // namespace plantaindale
