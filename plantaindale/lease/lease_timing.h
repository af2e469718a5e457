// Time limits and safety rules of node leases. Every node must use the same
// values.
#pragma once

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Safety rules of leases and shards. Without any one of them a node could be
// retired while it holds a lease, or a shard could have two owners. All are
// enabled in production. Tests and the state exploration in sessions/ disable
// one at a time to show that safety depends on it.
struct lease_rules
{
  // A lease starts when the vouch requests are sent, not when replies arrive.
  bool mCountFromSendTime = true;
  // A witness acknowledges a fencing floor only after its last vouch for the
  // holder has expired.
  bool mFencingFloorWaitsForVouch = true;
  // A witness rejects requests addressed to another incarnation of itself.
  bool mWitnessChecksIncarnation = true;
  // The fencing coordinator waits a TTL plus the drift margin after it observed
  // the record revision that it fenced.
  bool mCoordinatorWaits = true;
  // A round also needs a majority of each witness set whose write is
  // unresolved.
  bool mPendingSetsAreRequired = true;
  // An owner never resumes a shard after a shard map write with an unknown
  // outcome.
  bool mNeverResumeAfterLostWrite = true;
  // A fenced node is retired only after a majority of its witnesses has
  // acknowledged the fencing floor.
  bool mFencingFloorsAreRequested = true;
};

struct lease_timing
{
  // Validity of a vouch.
  duration mTtl = std::chrono::seconds(1);
  // Interval between vouch rounds.
  duration mRenewInterval = std::chrono::milliseconds(300);
  // Upper bound on the drift between two clocks during one TTL, excluding
  // queueing delays. The holder subtracts it from the lease; witnesses and
  // fencing coordinators add it to their waits. 10 ms per 1 s tolerates clock
  // rates that differ by 1%.
  duration mDriftMargin = std::chrono::milliseconds(10);
  // A witness that has lost its own lease stops vouching after this period.
  duration mGrace = std::chrono::seconds(30);
  // After a lease expires, the holder may still renew it for this long before
  // another node fences it.
  duration mSelfRecoveryWindow = std::chrono::milliseconds(200);
  // After a restore of the store, the nodes write again what it has lost. For
  // this long, no node takes over shards by what the store says.
  duration mStoreRecoveryTime = std::chrono::seconds(4);
  // A member whose record is not written again by then has no lease until it
  // is. Shorter than mStoreRecoveryTime by the time within which all nodes that
  // are connected learn of the restore.
  duration mStoreRewriteTime = std::chrono::milliseconds(2500);
  lease_rules mRules;
};

} // namespace plantaindale
