#include "plantaindale/placement/pair_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace plantaindale {
namespace {

// Fraction of the local load by which a move must reduce the higher of the two
// loads if imbalance and churn have equal weights. It grows with the churn
// weight, up to kMaxMinGain.
constexpr double kMinGain = 0.12;
constexpr double kMaxMinGain = 0.3;

// Below this utilization requests rarely wait for a slot, so a move must gain
// at least kMinGainBelowBusy; only nearly idle peers then receive shards.
constexpr double kBusyUtilization = 0.55;
constexpr double kMinGainBelowBusy = 0.4;

// A move must gain at least what this many standard deviations of the loads
// would seem to gain.
constexpr double kSignificance = 3;

// Limits how long the shards of one move are unavailable.
constexpr std::size_t kMaxShardsPerMove = 128;
// Contiguous shards are preferred if their load is at least this fraction of
// what the largest shards would take off: one grant can cover contiguous
// shards.
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

// Returns the single shard whose move leaves the smallest load difference.
std::vector<std::size_t>
ChooseOne(const pair_comparison& aComparison,
          double aLocalTotal,
          double aMaxLoadAfter)
{
  const double target_load = (aLocalTotal - aComparison.mPeerLoad) / 2;
  std::vector<std::size_t> chosen;
  double best_deviation = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aComparison.mLocalShards.size(); ++i) {
    const shard_load& shard = aComparison.mLocalShards[i];
    const double after =
      std::max(aLocalTotal - shard.mLoad, aComparison.mPeerLoad + shard.mLoad);
    const double deviation = std::abs(target_load - shard.mLoad);
    const bool is_better = !shard.mWasRecentlyMoved && after <= aMaxLoadAfter &&
                           deviation < best_deviation;
    if (is_better) {
      chosen = { i };
      best_deviation = deviation;
    }
  }
  return chosen;
}

// Shards to move together, and their total load.
struct batch
{
  std::vector<std::size_t> mIndices;
  double mLoad = 0;
};

// Returns the run of contiguous shards with the highest load up to
// `aTargetLoad`.
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

// Adds shards greedily, largest first, up to `aTargetLoad`.
batch
ChooseLargest(std::span<const shard_load> aShards, double aTargetLoad)
{
  std::vector<std::size_t> by_load(aShards.size());
  std::iota(by_load.begin(), by_load.end(), std::size_t{ 0 });
  std::stable_sort(by_load.begin(), by_load.end(), [&](auto aA, auto aB) {
    return aShards[aA].mLoad > aShards[aB].mLoad;
  });
  batch chosen;
  for (const std::size_t index : by_load) {
    const shard_load& shard = aShards[index];
    if (chosen.mIndices.size() < kMaxShardsPerMove &&
        !shard.mWasRecentlyMoved && chosen.mLoad + shard.mLoad <= aTargetLoad) {
      chosen.mLoad += shard.mLoad;
      chosen.mIndices.push_back(index);
    }
  }
  return chosen;
}

// Returns several shards whose total is close to half of the load difference.
std::vector<std::size_t>
ChooseSeveral(const pair_comparison& aComparison,
              double aLocalTotal,
              double aMaxLoadAfter)
{
  const double target_load = (aLocalTotal - aComparison.mPeerLoad) / 2;
  const batch largest = ChooseLargest(aComparison.mLocalShards, target_load);
  const batch contiguous =
    ChooseContiguous(aComparison.mLocalShards, target_load);
  const bool prefer_contiguous =
    contiguous.mLoad >= kMinContiguousRatio * largest.mLoad;
  const batch& chosen = prefer_contiguous ? contiguous : largest;
  const bool gain_suffices =
    std::max(aLocalTotal - chosen.mLoad,
             aComparison.mPeerLoad + chosen.mLoad) <= aMaxLoadAfter;
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

// The number of running requests has the variance of a Poisson distribution,
// and is correlated for about the time that a request runs.
double
LoadNoise(double aLocalLoad,
          double aPeerLoad,
          duration aRunTime,
          duration aWindow)
{
  const double independent_parts =
    std::max(1.0,
             static_cast<double>(aWindow.count()) /
               (2 * std::max(1.0, static_cast<double>(aRunTime.count()))));
  return std::sqrt((aLocalLoad + aPeerLoad) / independent_parts);
}

std::vector<std::size_t>
ChooseShardsToMove(const pair_comparison& aComparison)
{
  const double local_total = TotalLoad(aComparison.mLocalShards);
  const double min_gain = std::max(
    local_total * MinGain(aComparison.mWeights, aComparison.mUtilization),
    kSignificance * aComparison.mNoise / 2);
  const double max_load_after = local_total - min_gain;
  if (local_total <= aComparison.mPeerLoad) {
    return {};
  }
  std::vector<std::size_t> chosen =
    ChooseSeveral(aComparison, local_total, max_load_after);
  return chosen.empty() ? ChooseOne(aComparison, local_total, max_load_after)
                        : chosen;
}

} // namespace plantaindale
