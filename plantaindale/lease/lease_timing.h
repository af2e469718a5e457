// The times on which leases rest, the same on every node.
#pragma once

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// The rules that close the known holes of the lease. All hold in every
// process; only the exploration in sessions/ takes one out, to show by a
// counter-example what it is there for.
struct lease_rules
{
  // A lease counts from the sending of the round, never from its answers.
  bool mCountFromSendTime = true;
  // A floor is acknowledged only once the last vouch has ended.
  bool mFencingFloorWaitsForVouch = true;
  // A witness answers only for the incarnation that was asked.
  bool mWitnessChecksIncarnation = true;
  // A taker waits a TTL after it learnt of the record that it fenced.
  bool mCoordinatorWaits = true;
  // Witness sets of writes whose end isn't known count as well.
  bool mPendingSetsAreRequired = true;
  // An owner never resumes a shard after a map write whose end isn't known.
  bool mNeverResumeAfterLostWrite = true;
  // A fenced node's witnesses are asked before it is retired.
  bool mFencingFloorsAreRequested = true;
};

struct lease_timing
{
  // How long a vouch lasts.
  duration mTtl = std::chrono::seconds(1);
  // How often the holder asks.
  duration mRenewInterval = std::chrono::milliseconds(300);
  // More than two clocks can drift apart in one TTL, queueing excluded: the
  // holder gives it up, witnesses and takers add it. 10 ms in 1 s allows for
  // clocks whose rates differ by 1%.
  duration mDriftMargin = std::chrono::milliseconds(10);
  // A witness without a lease of its own stops vouching after this long.
  duration mGrace = std::chrono::seconds(30);
  // How long after a lapse a holder may still come back by itself.
  duration mSelfRecoveryWindow = std::chrono::milliseconds(200);
  lease_rules mRules;
};

} // namespace plantaindale
