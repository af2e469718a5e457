// held_shards lists the shards that the local backend server reports as held.
// Immutable; published to the traffic thread by routing_state.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "plantaindale/node/grant_ledger.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

struct held_shards
{
  std::string mService;
  std::vector<held_range> mRuns; // sorted, not overlapping

  // Time until which the server is known to hold the shard; kNever if it does
  // not hold it.
  instant HeldUntil(const shard_id& aShard) const
  {
    if (aShard.mService != mService) {
      return kNever;
    }
    const auto run = std::partition_point(
      mRuns.begin(), mRuns.end(), [&](const held_range& aRun) {
        return aRun.mLast < aShard.mIndex;
      });
    const bool is_held = run != mRuns.end() && run->mFirst <= aShard.mIndex;
    return is_held ? run->mUntil : kNever;
  }
};

} // namespace plantaindale
