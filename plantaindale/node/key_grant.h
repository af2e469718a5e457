// key_grant is the right to serve a range of keys, which a node grants to its
// local backend server for a limited time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

struct key_grant
{
  key_range mKeys;
  std::int64_t mFence = 0;              // higher than for any earlier holder
  std::chrono::milliseconds mHold{ 0 }; // from the call's arrival
  // State from the previous holder's release; empty: the server starts cold.
  std::string mHandover;
};

} // namespace plantaindale
