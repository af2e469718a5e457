// held_keys says which shards the backend server beside the node holds by its
// own account, as one immutable value for the traffic thread.
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
  std::vector<held_range> mRuns; // sorted, without overlap

  // Until when the server holds the shard for certain.
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
