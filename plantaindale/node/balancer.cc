#include "plantaindale/node/balancer.h"

#include <algorithm>

namespace plantaindale {
namespace {

constexpr duration kReportInterval = std::chrono::milliseconds(250);
// Weights of the newest report in the moving averages of a shard, and the time
// over which a plain mean would be as exact.
constexpr double kLoadSmoothing = 0.2;
constexpr duration kLoadWindow = 10 * kReportInterval;
constexpr double kSettledSmoothing = 0.03;
constexpr duration kSettledWindow = 66 * kReportInterval;
// Minimum time between two moves of a shard, since each move costs a cold
// start.
constexpr duration kMinResidenceTime = std::chrono::seconds(5);
// View changes within this interval are processed together.
constexpr duration kChangeBatchInterval = std::chrono::milliseconds(20);
// Minimum interval between moves started by this node.
constexpr duration kMoveInterval = std::chrono::milliseconds(500);
// Two reports are needed until the load of a new shard is known.
constexpr duration kLoadSettleTime = std::chrono::milliseconds(600);
// A node with less than this fraction of the mean shard count is underloaded.
constexpr double kUnderloadedRatio = 0.5;

} // namespace

void
balancer::OnTraffic(const traffic_report& aReport)
{
  for (auto& [index, shard] : mOwned) {
    const auto measured = aReport.mShardLoads.find({ mService, index });
    const double newest =
      measured == aReport.mShardLoads.end() ? 0 : measured->second;
    // Until there are enough reports, use their plain mean.
    ++shard.mReports;
    const double first = 1.0 / shard.mReports;
    shard.mLoad += std::max(kLoadSmoothing, first) * (newest - shard.mLoad);
    shard.mSettledLoad +=
      std::max(kSettledSmoothing, first) * (newest - shard.mSettledLoad);
  }
  mTypicalRunTime = aReport.mTypicalRunTime;
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
    mEligibleGeneration = -1;
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
  CountEligibleNodes(aView);
  const double mean =
    mEligibleNodes == 0
      ? 0
      : static_cast<double>(shards) / static_cast<double>(mEligibleNodes);
  mIsUnderloaded =
    static_cast<double>(mOwned.size()) < kUnderloadedRatio * mean;
}

void
balancer::CountEligibleNodes(const cluster_view& aView)
{
  if (mEligibleGeneration == aView.RecordsGeneration()) {
    return;
  }
  mEligibleGeneration = aView.RecordsGeneration();
  mEligibleNodes = std::count_if(
    aView.Nodes().begin(), aView.Nodes().end(), [&](const auto& aNode) {
      return aNode.second.AcceptsWork(mService);
    });
}

void
balancer::UpdateOwnedShards(instant aNow,
                            const shard_page& aPage,
                            const node_identity& aSelf)
{
  for (std::size_t offset = 0; offset < aPage.mEntries.size(); ++offset) {
    const shard_entry& entry = aPage.mEntries[offset];
    const int index = aPage.FirstShard() + static_cast<int>(offset);
    if (entry.mOwner != aSelf) {
      mOwned.erase(index);
      continue;
    }
    owned_shard& owned = mOwned[index];
    if (owned.mEpoch != entry.mEpoch) {
      owned = { 0, 0, 0, aNow, entry.mEpoch };
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
  const node_record* self = aView.FindNode(aSelf);
  const bool is_known = self != nullptr && self->mServer;
  const int slots = is_known ? std::max(self->mServer->mSlots, 1) : 1;
  std::vector<int> chosen = ChooseShards(&owned_shard::mLoad,
                                         kLoadWindow,
                                         aDigest.load,
                                         slots,
                                         service->mWeights,
                                         aNow);
  if (chosen.empty() && Load() > aDigest.load) {
    chosen = ChooseShards(&owned_shard::mSettledLoad,
                          kSettledWindow,
                          aDigest.settled_load,
                          slots,
                          service->mWeights,
                          aNow);
  }
  for (const int index : chosen) {
    mNextMove = aNow + kMoveInterval;
    aShards.StartMove(
      { mService, index }, aDigest.sender, aNow, aView, aSelf, aActions);
  }
}

std::vector<int>
balancer::ChooseShards(double owned_shard::*aLoad,
                       duration aWindow,
                       double aPeerLoad,
                       int aSlots,
                       const placement_weights& aWeights,
                       instant aNow) const
{
  std::vector<shard_load> shards;
  for (const auto& [index, shard] : mOwned) {
    const bool is_fresh =
      shard.mEpoch > 1 && aNow < shard.mOwnedSince + kMinResidenceTime;
    shards.push_back({ index, shard.*aLoad + kIdleShardLoad, is_fresh });
  }
  const double local = TotalLoad(aLoad);
  std::vector<int> chosen;
  for (const std::size_t choice : ChooseShardsToMove(
         { shards,
           aPeerLoad,
           aWeights,
           local / aSlots,
           LoadNoise(local, aPeerLoad, mTypicalRunTime, aWindow) })) {
    chosen.push_back(shards[choice].mShard);
  }
  return chosen;
}

bool
balancer::HasNewShards(instant aNow) const
{
  return aNow < mLastGainAt + kLoadSettleTime;
}

double
balancer::TotalLoad(double owned_shard::*aLoad) const
{
  double load = 0;
  for (const auto& [index, shard] : mOwned) {
    load += shard.*aLoad + kIdleShardLoad;
  }
  return load;
}

} // namespace plantaindale
