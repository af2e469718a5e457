// routing_snapshot is an immutable view of the cluster, published by the
// control thread and read by the traffic thread.
//
//   auto snapshot = routing_state.Latest();
//   const node_record* owner = snapshot->FindActing(entry->mOwner);
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/crashes/crash_verdicts.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/request/held_shards.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

struct routing_snapshot
{
  node_identity mSelf;
  bool mIsMember = false;
  bool mIsDraining = false;
  std::string mFailureDomain;
  std::shared_ptr<const cluster_configuration> mConfiguration =
    std::make_shared<const cluster_configuration>();
  std::shared_ptr<const cluster_view::node_map> mNodes =
    std::make_shared<const cluster_view::node_map>();
  cluster_view::page_map mPages;
  // Shards owned by this node that accept no new requests.
  std::set<shard_id> mClosedShards;
  bool mHasEvacuations = false; // some failure domain is evacuated

  // Null when the shard map has no entry for the shard.
  const shard_entry* FindEntry(const shard_id& aShard) const;
  // The record of exactly this incarnation; null unless the node is active and
  // its failure domain takes requests.
  const node_record* FindActing(const node_identity& aIdentity) const;
  // Whether the service has backend servers, but all in evacuated failure
  // domains.
  bool IsEvacuated(std::string_view aService) const;
  // Whether the incarnation was fenced, or replaced by a newer one at another
  // address. A node that leaves voluntarily still completes its requests. When
  // the newer incarnation has the same peer address `aPeer`, connections of the
  // old one are already closed, so an open connection belongs to the new one.
  bool HasEnded(const node_identity& aIdentity, std::string_view aPeer) const;
};

// Passes routing snapshots, held shards, verdicts and the lease from the
// control thread to the traffic thread. Thread-safe.
class routing_state
{
public:
  void Publish(std::shared_ptr<const routing_snapshot> aSnapshot)
  {
    mSnapshot.store(std::move(aSnapshot));
  }
  std::shared_ptr<const routing_snapshot> Latest() const
  {
    return mSnapshot.load();
  }
  void PublishHeldShards(std::shared_ptr<const held_shards> aKeys)
  {
    mHeldShards.store(std::move(aKeys));
  }
  std::shared_ptr<const held_shards> HeldShards() const
  {
    return mHeldShards.load();
  }
  void PublishCrashVerdicts(std::shared_ptr<const crash_verdicts> aVerdicts)
  {
    mCrashVerdicts.store(std::move(aVerdicts));
  }
  std::shared_ptr<const crash_verdicts> CrashVerdicts() const
  {
    return mCrashVerdicts.load();
  }
  // Resets the lease before it stores a new incarnation, so that a reader never
  // pairs one incarnation with the lease end of another.
  void SetLease(std::int64_t aIncarnation, instant aUntil)
  {
    if (aIncarnation != mIncarnation) {
      mLeaseUntil = ToMicros(kNever);
      mIncarnation = aIncarnation;
    }
    mLeaseUntil = ToMicros(aUntil);
  }
  instant LeaseUntil() const { return FromMicros(mLeaseUntil); }
  bool HoldsLease(std::int64_t aIncarnation) const
  {
    const instant until = LeaseUntil();
    return boot_clock::now() < until && mIncarnation == aIncarnation;
  }

private:
  std::atomic<std::shared_ptr<const routing_snapshot>> mSnapshot{
    std::make_shared<const routing_snapshot>()
  };
  std::atomic<std::shared_ptr<const held_shards>> mHeldShards{
    std::make_shared<const held_shards>()
  };
  std::atomic<std::shared_ptr<const crash_verdicts>> mCrashVerdicts{
    std::make_shared<const crash_verdicts>()
  };
  std::atomic<std::int64_t> mIncarnation = 0;
  std::atomic<std::int64_t> mLeaseUntil = ToMicros(kNever);
};

} // namespace plantaindale
