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
constexpr std::size_t kMostAtOnce = 32;

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

// The largest shards that together come close to half of the difference.
std::vector<std::size_t>
ChooseSeveral(const pair_comparison& aComparison,
              double aOwn,
              double aHighestAfter)
{
  const std::span<const shard_load> shards = aComparison.mOwnShards;
  std::vector<std::size_t> by_load(shards.size());
  std::iota(by_load.begin(), by_load.end(), std::size_t{ 0 });
  std::stable_sort(by_load.begin(), by_load.end(), [&](auto aA, auto aB) {
    return shards[aA].mLoad > shards[aB].mLoad;
  });
  double wanted = (aOwn - aComparison.mPeerLoad) / 2;
  double moved = 0;
  std::vector<std::size_t> chosen;
  for (const std::size_t place : by_load) {
    const shard_load& shard = shards[place];
    if (chosen.size() < kMostAtOnce && !shard.mIsFresh &&
        shard.mLoad <= wanted) {
      wanted -= shard.mLoad;
      moved += shard.mLoad;
      chosen.push_back(place);
    }
  }
  const bool is_worth_it =
    std::max(aOwn - moved, aComparison.mPeerLoad + moved) <= aHighestAfter;
  return is_worth_it ? chosen : std::vector<std::size_t>();
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
