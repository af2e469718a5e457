// balancer tracks the smoothed load of the local shards and moves shards to
// less loaded nodes, whose load it learns from gossip digests.
#pragma once

#include <cstddef>
#include <map>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/shard_manager.h"
#include "plantaindale/placement/pair_balancer.h"

namespace plantaindale {

// Part of node_machine: performs no I/O and reads no clock. Not thread-safe.
class balancer
{
public:
  void OnTraffic(const traffic_report& aReport);
  // Updates the set of local shards from the view.
  void Step(instant aNow,
            const cluster_view& aView,
            const node_identity& aSelf,
            std::string_view aService);
  // Handles the digest of another node, and moves shards there if that improves
  // the balance enough.
  void OnDigest(const protocol::digest& aDigest,
                instant aNow,
                const cluster_view& aView,
                const node_identity& aSelf,
                shard_manager& aShards,
                action_list& aActions);

  // Sum of the smoothed loads of the local shards, in slots: recent, so that
  // hot keys are relieved soon, or over a longer time, so that small lasting
  // differences can be told from chance.
  double Load() const { return TotalLoad(&owned_shard::mLoad); }
  double SettledLoad() const { return TotalLoad(&owned_shard::mSettledLoad); }
  // The node owns far fewer shards than the mean.
  bool IsUnderloaded() const { return mIsUnderloaded; }
  // Shards were gained so recently that Load() does not include their load yet.
  bool HasNewShards(instant aNow) const;

private:
  struct owned_shard
  {
    double mLoad = 0;
    double mSettledLoad = 0;
    int mReports = 0; // reports averaged in the loads
    instant mOwnedSince;
    std::int64_t mEpoch = 0;
  };

  double TotalLoad(double owned_shard::*aLoad) const;
  // The shards to move to a peer of the given load; see pair_balancer.h.
  std::vector<int> ChooseShards(double owned_shard::*aLoad,
                                duration aWindow,
                                double aPeerLoad,
                                int aSlots,
                                const placement_weights& aWeights,
                                instant aNow) const;
  // Counts the nodes that accept work of the service, if a record has changed.
  void CountEligibleNodes(const cluster_view& aView);
  void UpdateOwnedShards(instant aNow,
                         const shard_page& aPage,
                         const node_identity& aSelf);

  std::string mService;
  node_identity mSelf;
  std::map<int, std::int64_t> mSeenPages; // revision by page
  std::map<int, owned_shard> mOwned;
  std::int64_t mSeenGeneration = -1;
  std::ptrdiff_t mEligibleNodes = 0;
  std::int64_t mEligibleGeneration = -1; // of the records
  instant mNextChangeCheck = kNever;
  instant mNextMove = kNever;
  instant mLastGainAt = kNever;
  duration mTypicalRunTime{ 0 };
  bool mIsUnderloaded = false;
};

} // namespace plantaindale
