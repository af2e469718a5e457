// Pairwise load balancing: selects the shards that the more loaded of two nodes
// of one service moves to the other. Each node compares itself with the few
// peers whose load it receives, so no node needs the load of all nodes.
// Repeated comparison of random pairs equalizes the load.
//
//   const pair_comparison compared{ shards, peer_load, weights, used, noise };
//   for (std::size_t index : ChooseShardsToMove(compared)) {
//     ... move shards[index] ...
//   }
#pragma once

#include <span>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

// Load of an idle shard, in slots. It makes idle shards count, so that they are
// distributed evenly by number.
inline constexpr double kIdleShardLoad = 0.002;

struct shard_load
{
  int mShard = 0;
  double mLoad = 0;               // mean slots in use, plus kIdleShardLoad
  bool mWasRecentlyMoved = false; // arrived recently; not moved again yet
};

struct pair_comparison
{
  std::span<const shard_load> mLocalShards;
  double mPeerLoad = 0;
  placement_weights mWeights;
  // Fraction of the local server's slots in use; may exceed 1. Requests wait
  // only when slots are scarce, so moves gain more at high utilization.
  double mUtilization = 1;
  // Standard deviation of the difference between the two measured loads, in
  // slots, while the true loads don't change.
  double mNoise = 0;
};

// pair_comparison::mNoise of two servers, whose requests take `aRunTime` each
// and arrive independently, if the loads are means over `aWindow`.
double
LoadNoise(double aLocalLoad,
          double aPeerLoad,
          duration aRunTime,
          duration aWindow);

// The sum of the loads, in slots.
double
TotalLoad(std::span<const shard_load> aShards);

// Indices into mLocalShards of the shards to move; empty if the load difference
// doesn't justify a move, or may be that of equal servers which happen to get
// more and fewer requests at this moment. Contiguous shards are preferred if
// they take off nearly as much load as the largest ones; otherwise a few large
// shards are preferred to many small ones.
std::vector<std::size_t>
ChooseShardsToMove(const pair_comparison& aComparison);

} // namespace plantaindale
