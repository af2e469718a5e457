#include "plantaindale/placement/pair_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plantaindale {
namespace {

// Part of the higher load that a move must take off, where imbalance and churn
// weigh the same; more when churn weighs more.
constexpr double kLeastGain = 0.04;
constexpr double kLargestLeastGain = 0.2;

double
LeastGain(const placement_weights& aWeights)
{
  const double imbalance = std::max(aWeights.mImbalance, 0.01);
  const double ratio = aWeights.mChurn / imbalance;
  return std::min(kLeastGain * (0.5 + 0.5 * ratio), kLargestLeastGain);
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

std::optional<std::size_t>
ChooseShardToHand(const pair_comparison& aComparison)
{
  const double own = TotalLoad(aComparison.mOwnShards);
  const double peer = aComparison.mPeerLoad;
  const double wanted = (own - peer) / 2;
  const double highest_after = own * (1 - LeastGain(aComparison.mWeights));
  std::optional<std::size_t> best;
  double best_miss = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aComparison.mOwnShards.size(); ++i) {
    const shard_load& shard = aComparison.mOwnShards[i];
    const double after = std::max(own - shard.mLoad, peer + shard.mLoad);
    const double miss = std::abs(wanted - shard.mLoad);
    const bool is_better =
      !shard.mIsFresh && after <= highest_after && miss < best_miss;
    if (is_better) {
      best = i;
      best_miss = miss;
    }
  }
  return best;
}

} // namespace plantaindale
