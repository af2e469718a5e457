#include "plantaindale/placement/speed_balancer.h"

#include <algorithm>
#include <cmath>

namespace plantaindale {
namespace {

// Measured speeds of equal servers may differ by nearly this factor.
constexpr double kMinSpeedRatio = 1.4;
// The faster server gets shards up to this part of its slots: a burst still
// finds free slots, and servers slow down when they are nearly full.
constexpr double kMaxUtilization = 0.6;
// From this utilization on, requests wait for slots so often that only the load
// counts.
constexpr double kShortOfSlots = 0.8;
// Part of the free room that one move may fill: several servers may choose the
// same peer before its load shows what it got.
constexpr double kMaxPartOfRoom = 1.0 / 3;
// Beyond this utilization the number of waiting requests is extrapolated
// linearly: it depends on how long the overload lasts.
constexpr double kMaxStableUtilization = 0.9;
// Requests arrive in bursts and machines are slow for moments, so more requests
// wait than with the Poisson arrivals of the formula.
constexpr double kVariability = 2;
// Part of the requests at the local server that a move must save if imbalance
// and churn have equal weights, and at least this part of its slots.
constexpr double kMinGain = 0.1;
constexpr double kMinGainInSlots = 0.05;

double
Utilization(const server_usage& aServer)
{
  return aServer.mLoad / aServer.mSlots;
}

double
Speed(const server_usage& aServer)
{
  return aServer.mCapacity / aServer.mSlots;
}

// Requests that the move of `aLoad` saves at both servers together.
double
Gain(const speed_comparison& aComparison, double aLoad)
{
  const server_usage& local = aComparison.mLocal;
  const server_usage& peer = aComparison.mPeer;
  const double load_there = aLoad * Speed(local) / Speed(peer);
  return ExpectedRequests(local.mLoad, local.mSlots) +
         ExpectedRequests(peer.mLoad, peer.mSlots) -
         ExpectedRequests(local.mLoad - aLoad, local.mSlots) -
         ExpectedRequests(peer.mLoad + load_there, peer.mSlots);
}

double
MinGain(const speed_comparison& aComparison)
{
  const double ratio = aComparison.mWeights.mChurn /
                       std::max(aComparison.mWeights.mImbalance, 0.01);
  const server_usage& local = aComparison.mLocal;
  return std::max(local.mLoad * kMinGain * (0.5 + 0.5 * ratio),
                  local.mSlots * kMinGainInSlots);
}

// The load whose move gains most, within what the peer may get at once.
double
BestLoad(const speed_comparison& aComparison)
{
  constexpr int kSteps = 16;
  const server_usage& peer = aComparison.mPeer;
  const double room = kMaxUtilization * peer.mSlots - peer.mLoad;
  const double most =
    std::min(aComparison.mLocal.mLoad,
             room * kMaxPartOfRoom * Speed(peer) / Speed(aComparison.mLocal));
  double best = 0;
  double best_gain = 0;
  for (int step = 1; step <= kSteps && most > 0; ++step) {
    const double load = most * step / kSteps;
    const double gain = Gain(aComparison, load);
    if (gain > best_gain) {
      best = load;
      best_gain = gain;
    }
  }
  return best;
}

} // namespace

speed_rule
RuleFor(const server_usage& aLocal, const server_usage& aPeer)
{
  const bool is_known = aLocal.mCapacity > 0 && aPeer.mCapacity > 0;
  const double ratio = is_known ? Speed(aPeer) / Speed(aLocal) : 1;
  const bool is_equal = !std::isfinite(ratio) ||
                        (ratio < kMinSpeedRatio && ratio > 1 / kMinSpeedRatio);
  if (is_equal || Utilization(aLocal) >= kShortOfSlots) {
    return speed_rule::kByLoad;
  }
  return ratio > 1 ? speed_rule::kMoveToFaster : speed_rule::kKeep;
}

// Sakasegawa's approximation of a queue with several servers.
double
ExpectedRequests(double aLoad, int aSlots)
{
  const double used = std::max(aLoad, 0.0) / aSlots;
  const double stable = std::min(used, kMaxStableUtilization);
  const double exponent = std::sqrt(2.0 * (aSlots + 1));
  const double free = 1 - stable;
  const double power = std::pow(stable, exponent);
  const double slope =
    (exponent * power / std::max(stable, 1e-9) * free + power) / (free * free);
  const double waiting = power / free + slope * (used - stable);
  return used * aSlots + kVariability * waiting;
}

std::vector<std::size_t>
ChooseShardsBySpeed(const speed_comparison& aComparison)
{
  shard_batch chosen =
    ChooseBatch(aComparison.mLocalShards, BestLoad(aComparison));
  const bool suffices = !chosen.mIndices.empty() &&
                        Gain(aComparison, chosen.mLoad) >= MinGain(aComparison);
  return suffices ? std::move(chosen.mIndices) : std::vector<std::size_t>();
}

} // namespace plantaindale
