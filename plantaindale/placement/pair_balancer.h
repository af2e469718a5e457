// Decides, between two nodes of one service, which shard the more loaded one
// should hand to the other. Each node compares itself with the few others that
// it hears of, so no node needs to know the load of all; the repeated
// comparison of random pairs evens the load out.
//
//   auto choice = ChooseShardToHand({ own_shards, peer_load, weights, slots });
//   if (choice) { ... move own_shards[*choice] ... }
#pragma once

#include <span>
#include <vector>

#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

// What a shard weighs without any load, in slots: it lets idle shards be
// spread evenly by number.
inline constexpr double kIdleShardLoad = 0.002;

struct shard_load
{
  int mShard = 0;
  double mLoad = 0;               // mean slots in use, idle weight included
  bool mWasRecentlyMoved = false; // moved here lately; it stays for now
};

struct pair_comparison
{
  std::span<const shard_load> mLocalShards;
  double mPeerLoad = 0;
  placement_weights mWeights;
  // How full the own server is, 0 to 1 or more: what a move gains grows with
  // it, since requests wait where slots are short.
  double mUtilization = 1;
};

// The total of a node's shards.
double
TotalLoad(std::span<const shard_load> aShards);

// The places in mOwnShards of the shards to hand over, few large ones rather
// than many small ones; none when the difference isn't worth a move.
std::vector<std::size_t>
ChooseShardsToMove(const pair_comparison& aComparison);

} // namespace plantaindale
