#include "plantaindale/placement/pair_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace plantaindale {
namespace {

// Part of the higher load that a move must take off, where imbalance and churn
// weigh the same; more when churn weighs more.
constexpr double kLeastGain = 0.12;
constexpr double kLargestLeastGain = 0.3;

// Below this part of its slots in use a server hardly makes anybody wait; then
// only a node with next to nothing gets a part.
constexpr double kBusyUse = 0.55;
constexpr double kLeastGainAtEase = 0.4;

// Shards of one handover: more would be closed for longer.
constexpr std::size_t kMostAtOnce = 128;
// Neighbours are handed over together while they take off at least this part
// of what the largest shards would: they stay under one grant.
constexpr double kNeighboursSuffice = 0.7;

double
LeastGain(const placement_weights& aWeights, double aUse)
{
  const double imbalance = std::max(aWeights.mImbalance, 0.01);
  const double ratio = aWeights.mChurn / imbalance;
  const double gain =
    std::min(kLeastGain * (0.5 + 0.5 * ratio), kLargestLeastGain);
  return aUse >= kBusyUse ? gain : std::max(gain, kLeastGainAtEase);
}

// The one shard whose move leaves the least difference.
std::vector<std::size_t>
ChooseOne(const pair_comparison& aComparison, double aOwn, double aHighestAfter)
{
  const double wanted = (aOwn - aComparison.mPeerLoad) / 2;
  std::vector<std::size_t> chosen;
  double best_miss = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aComparison.mOwnShards.size(); ++i) {
    const shard_load& shard = aComparison.mOwnShards[i];
    const double after =
      std::max(aOwn - shard.mLoad, aComparison.mPeerLoad + shard.mLoad);
    const double miss = std::abs(wanted - shard.mLoad);
    const bool is_better =
      !shard.mIsFresh && after <= aHighestAfter && miss < best_miss;
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
  std::vector<std::size_t> mPlaces;
  double mLoad = 0;
};

// The neighbours that together come closest to what is wanted.
batch
ChooseNeighbours(std::span<const shard_load> aShards, double aWanted)
{
  std::size_t best_begin = 0;
  std::size_t best_end = 0;
  double best = 0;
  double load = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aShards.size(); ++end) {
    const bool leads_on =
      end > 0 && aShards[end].mShard == aShards[end - 1].mShard + 1;
    if (!leads_on || aShards[end].mIsFresh) {
      load = 0;
      begin = aShards[end].mIsFresh ? end + 1 : end;
    }
    if (aShards[end].mIsFresh) {
      continue;
    }
    load += aShards[end].mLoad;
    while (begin <= end && (load > aWanted || end - begin >= kMostAtOnce)) {
      load -= aShards[begin++].mLoad;
    }
    if (load > best) {
      best = load;
      best_begin = begin;
      best_end = end + 1;
    }
  }
  batch chosen{ std::vector<std::size_t>(best_end - best_begin), best };
  std::iota(chosen.mPlaces.begin(), chosen.mPlaces.end(), best_begin);
  return chosen;
}

// The largest shards that together come close to what is wanted.
batch
ChooseLargest(std::span<const shard_load> aShards, double aWanted)
{
  std::vector<std::size_t> by_load(aShards.size());
  std::iota(by_load.begin(), by_load.end(), std::size_t{ 0 });
  std::stable_sort(by_load.begin(), by_load.end(), [&](auto aA, auto aB) {
    return aShards[aA].mLoad > aShards[aB].mLoad;
  });
  batch chosen;
  for (const std::size_t place : by_load) {
    const shard_load& shard = aShards[place];
    if (chosen.mPlaces.size() < kMostAtOnce && !shard.mIsFresh &&
        chosen.mLoad + shard.mLoad <= aWanted) {
      chosen.mLoad += shard.mLoad;
      chosen.mPlaces.push_back(place);
    }
  }
  return chosen;
}

// Several shards that together come close to half of the difference.
std::vector<std::size_t>
ChooseSeveral(const pair_comparison& aComparison,
              double aOwn,
              double aHighestAfter)
{
  const double wanted = (aOwn - aComparison.mPeerLoad) / 2;
  const batch largest = ChooseLargest(aComparison.mOwnShards, wanted);
  const batch neighbours = ChooseNeighbours(aComparison.mOwnShards, wanted);
  const bool do_suffice =
    neighbours.mLoad >= kNeighboursSuffice * largest.mLoad;
  const batch& chosen = do_suffice ? neighbours : largest;
  const bool is_worth_it =
    std::max(aOwn - chosen.mLoad, aComparison.mPeerLoad + chosen.mLoad) <=
    aHighestAfter;
  return is_worth_it ? chosen.mPlaces : std::vector<std::size_t>();
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
ChooseShardsToHand(const pair_comparison& aComparison)
{
  const double own = TotalLoad(aComparison.mOwnShards);
  const double highest_after =
    own * (1 - LeastGain(aComparison.mWeights, aComparison.mUse));
  if (own <= aComparison.mPeerLoad) {
    return {};
  }
  std::vector<std::size_t> chosen =
    ChooseSeveral(aComparison, own, highest_after);
  return chosen.empty() ? ChooseOne(aComparison, own, highest_after) : chosen;
}

} // namespace plantaindale
