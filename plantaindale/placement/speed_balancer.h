// Balancing between a server and a faster one: selects the shards whose move
// leaves the fewest callers waiting for an answer at the two servers together.
//
// Answers this load: servers of one service differ in speed, so that with equal
// shares of the keys the callers of the slow ones wait longer although the fast
// ones have free slots. Shards go to the faster server as long as that keeps
// free slots for bursts. Servers that are short of slots, equal ones and those
// of unknown speed are balanced by pair_balancer.
//
//   switch (RuleFor(local, peer)) {
//     case speed_rule::kMoveToFaster:
//       for (std::size_t index :
//            ChooseShardsBySpeed({ shards, local, peer, weights })) {
//         ... move shards[index] ...
//       }
//     ...
//   }
#pragma once

#include <span>
#include <vector>

#include "plantaindale/placement/pair_balancer.h"

namespace plantaindale {

struct server_usage
{
  double mLoad = 0;     // mean slots in use or asked for
  int mSlots = 1;       // at least 1
  double mCapacity = 0; // slots x speed, in any unit; 0: unknown
};

struct speed_comparison
{
  std::span<const shard_load> mLocalShards;
  server_usage mLocal; // mLoad is the total of mLocalShards
  server_usage mPeer;
  placement_weights mWeights;
};

enum class speed_rule
{
  kByLoad,       // the speeds don't matter, or aren't known
  kMoveToFaster, // the peer is faster
  kKeep          // the peer is slower, and the local server has free slots
};

speed_rule
RuleFor(const server_usage& aLocal, const server_usage& aPeer);

// Mean number of requests at a server with this load, running and waiting.
double
ExpectedRequests(double aLoad, int aSlots);

// Indices into mLocalShards of the shards to move; empty if the gain doesn't
// justify a move. For speed_rule::kMoveToFaster.
std::vector<std::size_t>
ChooseShardsBySpeed(const speed_comparison& aComparison);

} // namespace plantaindale
