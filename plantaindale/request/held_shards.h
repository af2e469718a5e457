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
  std::vector<held_range> mRanges; // sorted, not overlapping

  // Time until which the server is known to hold the shard; kNever if it does
  // not hold it.
  instant HeldUntil(const shard_id& aShard) const
  {
    if (aShard.mService != mService) {
      return kNever;
    }
    const auto range = std::partition_point(
      mRanges.begin(), mRanges.end(), [&](const held_range& aRange) {
        return aRange.mLast < aShard.mIndex;
      });
    const bool is_held =
      range != mRanges.end() && range->mFirst <= aShard.mIndex;
    return is_held ? range->mUntil : kNever;
  }
};

} // namespace plantaindale
