#include "plantaindale/placement/pair_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace plantaindale {
namespace {

// Part of the higher load that a move must take off, where imbalance and churn
// weigh the same; more when churn weighs more.
constexpr double kMinGain = 0.12;
constexpr double kMaxMinGain = 0.3;

// Below this part of its slots in use a server hardly makes anybody wait; then
// only a node with next to nothing gets a part.
constexpr double kBusyUtilization = 0.55;
constexpr double kMinGainBelowBusy = 0.4;

// Shards of one handover: more would be closed for longer.
constexpr std::size_t kMaxShardsPerMove = 128;
// Neighbours are handed over together while they take off at least this part
// of what the largest shards would: they stay under one grant.
constexpr double kMinContiguousRatio = 0.7;

double
MinGain(const placement_weights& aWeights, double aUtilization)
{
  const double imbalance = std::max(aWeights.mImbalance, 0.01);
  const double ratio = aWeights.mChurn / imbalance;
  const double gain = std::min(kMinGain * (0.5 + 0.5 * ratio), kMaxMinGain);
  return aUtilization >= kBusyUtilization ? gain
                                          : std::max(gain, kMinGainBelowBusy);
}

// The one shard whose move leaves the least difference.
std::vector<std::size_t>
ChooseOne(const pair_comparison& aComparison,
          double aLocalTotal,
          double aHighestAfter)
{
  const double wanted = (aLocalTotal - aComparison.mPeerLoad) / 2;
  std::vector<std::size_t> chosen;
  double best_miss = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aComparison.mLocalShards.size(); ++i) {
    const shard_load& shard = aComparison.mLocalShards[i];
    const double after =
      std::max(aLocalTotal - shard.mLoad, aComparison.mPeerLoad + shard.mLoad);
    const double miss = std::abs(wanted - shard.mLoad);
    const bool is_better =
      !shard.mWasRecentlyMoved && after <= aHighestAfter && miss < best_miss;
    if (is_better) {
      chosen = { i };
      best_miss = miss;
    }
  }
  return chosen;
}

// Shards to hand over together, and their load.
struct batch
{
  std::vector<std::size_t> mIndices;
  double mLoad = 0;
};

// The neighbours that together come closest to what is wanted.
batch
ChooseContiguous(std::span<const shard_load> aShards, double aTargetLoad)
{
  std::size_t best_begin = 0;
  std::size_t best_end = 0;
  double best = 0;
  double load = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aShards.size(); ++end) {
    const bool is_contiguous =
      end > 0 && aShards[end].mShard == aShards[end - 1].mShard + 1;
    if (!is_contiguous || aShards[end].mWasRecentlyMoved) {
      load = 0;
      begin = aShards[end].mWasRecentlyMoved ? end + 1 : end;
    }
    if (aShards[end].mWasRecentlyMoved) {
      continue;
    }
    load += aShards[end].mLoad;
    while (begin <= end &&
           (load > aTargetLoad || end - begin >= kMaxShardsPerMove)) {
      load -= aShards[begin++].mLoad;
    }
    if (load > best) {
      best = load;
      best_begin = begin;
      best_end = end + 1;
    }
  }
  batch chosen{ std::vector<std::size_t>(best_end - best_begin), best };
  std::iota(chosen.mIndices.begin(), chosen.mIndices.end(), best_begin);
  return chosen;
}

// The largest shards that together come close to what is wanted.
batch
ChooseLargest(std::span<const shard_load> aShards, double aTargetLoad)
{
  std::vector<std::size_t> by_load(aShards.size());
  std::iota(by_load.begin(), by_load.end(), std::size_t{ 0 });
  std::stable_sort(by_load.begin(), by_load.end(), [&](auto aA, auto aB) {
    return aShards[aA].mLoad > aShards[aB].mLoad;
  });
  batch chosen;
  for (const std::size_t place : by_load) {
    const shard_load& shard = aShards[place];
    if (chosen.mIndices.size() < kMaxShardsPerMove &&
        !shard.mWasRecentlyMoved && chosen.mLoad + shard.mLoad <= aTargetLoad) {
      chosen.mLoad += shard.mLoad;
      chosen.mIndices.push_back(place);
    }
  }
  return chosen;
}

// Several shards that together come close to half of the difference.
std::vector<std::size_t>
ChooseSeveral(const pair_comparison& aComparison,
              double aLocalTotal,
              double aHighestAfter)
{
  const double wanted = (aLocalTotal - aComparison.mPeerLoad) / 2;
  const batch largest = ChooseLargest(aComparison.mLocalShards, wanted);
  const batch neighbours = ChooseContiguous(aComparison.mLocalShards, wanted);
  const bool prefer_contiguous =
    neighbours.mLoad >= kMinContiguousRatio * largest.mLoad;
  const batch& chosen = prefer_contiguous ? neighbours : largest;
  const bool gain_suffices =
    std::max(aLocalTotal - chosen.mLoad,
             aComparison.mPeerLoad + chosen.mLoad) <= aHighestAfter;
  return gain_suffices ? chosen.mIndices : std::vector<std::size_t>();
}

} // namespace

double
TotalLoad(std::span<const shard_load> aShards)
{
  double total = 0;
  for (const shard_load& shard : aShards) {
    total += shard.mLoad;
  }
  return total;
}

std::vector<std::size_t>
ChooseShardsToMove(const pair_comparison& aComparison)
{
  const double own = TotalLoad(aComparison.mLocalShards);
  const double highest_after =
    own * (1 - MinGain(aComparison.mWeights, aComparison.mUtilization));
  if (own <= aComparison.mPeerLoad) {
    return {};
  }
  std::vector<std::size_t> chosen =
    ChooseSeveral(aComparison, own, highest_after);
  return chosen.empty() ? ChooseOne(aComparison, own, highest_after) : chosen;
}

} // namespace plantaindale
