// routing_snapshot is all that the traffic thread needs to know of the
// cluster, as one immutable value that the control thread publishes.
//
//   auto snapshot = board.Latest();
//   const node_record* owner = snapshot->FindActing(entry->mOwner);
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
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
  cluster_view::node_map mNodes;
  cluster_view::page_map mPages;
  // Shards of this node's for which no new request may begin.
  std::set<shard_id> mClosedShards;

  const shard_entry* FindEntry(const shard_id& aShard) const;
  // Only a record of this very incarnation that may act.
  const node_record* FindActing(const node_identity& aIdentity) const;
  // Whether the incarnation was fenced, or replaced at another address. One
  // that leaves by itself still finishes what it runs; one that was replaced at
  // `aPeer`, its own address, has lost its connections, and a connection there
  // that lives is its successor's.
  bool HasEnded(const node_identity& aIdentity, std::string_view aPeer) const;
};

// Where the control thread leaves what the traffic thread reads. Thread-safe.
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
  // A reader never sees the end of one incarnation's lease with the number of
  // another.
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
  std::atomic<std::int64_t> mIncarnation = 0;
  std::atomic<std::int64_t> mLeaseUntil = ToMicros(kNever);
};

} // namespace plantaindale
