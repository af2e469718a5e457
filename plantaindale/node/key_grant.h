// key_grant is the right to act for a range of keys that a node gives to the
// backend server beside it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

struct key_grant
{
  key_range mKeys;
  std::int64_t mFence = 0; // above that of every former holder of these keys
  std::chrono::milliseconds mHold{ 0 }; // from the call's arrival
  // What the keys' last holder gave at its release; empty: they come cold.
  std::string mHandover;
};

} // namespace plantaindale
