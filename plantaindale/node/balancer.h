// balancer keeps the load of this node's shards, smoothed, and hands shards to
// less loaded nodes that it hears of.
#pragma once

#include <map>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/shard_manager.h"
#include "plantaindale/placement/pair_balancer.h"

namespace plantaindale {

// Part of node_machine; pure. Not thread-safe.
class balancer
{
public:
  // Commands.
  void OnTraffic(const traffic_report& aReport);
  // Notices shards that came or went.
  void Step(instant aNow,
            const cluster_view& aView,
            const node_identity& aSelf,
            std::string_view aService);
  // Another node told its load: hands it a shard when that is worth it.
  void OnDigest(const protocol::digest& aDigest,
                instant aNow,
                const cluster_view& aView,
                const node_identity& aSelf,
                shard_manager& aShards,
                action_list& aActions);

  // Queries.
  double Load() const;
  // Far below the mean number of shards.
  bool IsUnderloaded() const { return mIsUnderloaded; }
  // Shards came so lately that Load() doesn't show them yet.
  bool HasNewShards(instant aNow) const;

private:
  struct owned_shard
  {
    double mLoad = 0;
    int mReports = 0; // that mLoad is made of
    instant mOwnedSince;
    std::int64_t mEpoch = 0;
  };

  void UpdateOwnedShards(instant aNow,
                         const shard_page& aPage,
                         const node_identity& aSelf);

  std::string mService;
  node_identity mSelf;
  std::map<int, std::int64_t> mSeenPages; // revision by page
  std::map<int, owned_shard> mOwned;
  std::int64_t mSeenGeneration = -1;
  instant mNextChangeCheck = kNever;
  instant mNextMove = kNever;
  instant mLastGainAt = kNever;
  bool mIsUnderloaded = false;
};

} // namespace plantaindale
