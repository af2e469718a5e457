// node_machine is the control plane of one node as a deterministic state
// machine: it consumes events and returns the actions to execute. It reads no
// clock, opens no socket and starts no thread, so that a recorded event
// sequence can be replayed.
//
//   node_machine machine(description, timing, seed);
//   std::vector<action> actions = machine.Step(tick{}, now);
#pragma once

#include <optional>
#include <vector>

#include "plantaindale/crashes/crash_control.h"
#include "plantaindale/lease/witness_ledger.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/membership/gossip_protocol.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/balancer.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/fencing_coordinator.h"
#include "plantaindale/node/local_membership.h"
#include "plantaindale/node/shard_manager.h"

namespace plantaindale {

// Not thread-safe; used by the control thread only.
class node_machine
{
public:
  node_machine(node_description aDescription,
               lease_timing aTiming,
               std::uint64_t aSeed);

  // See local_membership; set before each Step() where grants are kept.
  void SetGrantsHeldUntil(instant aTime)
  {
    mLocalMembership.SetGrantsHeldUntil(aTime);
  }
  // The time of day; set before each Step().
  void SetUnixTime(unix_time aTime) { mUnixTime = aTime; }
  // Applies the event at `aNow` and returns the actions to execute, in order.
  std::vector<action> Step(const event& aEvent, instant aNow);

  const cluster_view& View() const { return mView; }
  const local_membership& LocalMembership() const { return mLocalMembership; }
  const witness_ledger& Ledger() const { return mLedger; }
  const fencing_coordinator& FencingCoordinator() const
  {
    return mFencingCoordinator;
  }
  const shard_manager& ShardManager() const { return mShardManager; }
  const balancer& Balancer() const { return mBalancer; }
  const crash_control& CrashControl() const { return mCrashControl; }
  bool IsMember() const
  {
    return mLocalMembership.Phase() == membership_phase::kMember;
  }
  // The node has left or was replaced; the process should exit.
  bool IsFinished() const;
  instant LeaseUntil() const { return mLocalMembership.LeaseUntil(mView); }
  bool ShouldWatch(instant aNow) const
  {
    return aNow >= LeaseUntil() || mGossip.ShouldWatch(aNow, mView);
  }
  // Whether the list of evacuated failure domains is known, if it must be.
  bool KnowsEvacuations() const;
  // Whether the local failure domain is evacuated.
  bool IsEvacuated() const;
  duration WatchPause(instant aNow) const
  {
    return mGossip.WatchPause(aNow, mView);
  }
  // Human-readable reason why the drain has not finished; empty when nothing
  // blocks it.
  std::string DrainWaitsFor(instant aNow) const;

private:
  void HandleEvent(const tick& aEvent, instant aNow, action_list& aActions);
  void HandleEvent(const message_received& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const write_finished& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const read_finished& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const store_changed& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const server_announced& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const rejoin_requested& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const shards_drained& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const shard_warmed& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const watch_ended& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const traffic_report& aEvent,
                   instant aNow,
                   action_list& aActions);
  template<crash_event event_type>
  void HandleEvent(const event_type& aEvent,
                   instant aNow,
                   action_list& aActions)
  {
    mCrashControl.OnEvent(aEvent, aNow, mView, aActions);
  }
  void HandleEvent(const drain_requested& aEvent,
                   instant aNow,
                   action_list& aActions);
  void HandleEvent(const undrain_requested& aEvent,
                   instant aNow,
                   action_list& aActions);

  void OnVouch(const protocol::vouch_request& aRequest,
               instant aNow,
               action_list& aActions);
  absl::Status MayVouch(const protocol::vouch_request& aRequest,
                        instant aNow) const;
  void OnFencingRequest(const protocol::floor_request& aRequest,
                        instant aNow,
                        action_list& aActions);
  void OnWarm(const protocol::warm_request& aRequest, action_list& aActions);
  void Advance(instant aNow, action_list& aActions);
  void OnDigest(const protocol::digest& aDigest,
                instant aNow,
                action_list& aActions);
  void OnDelta(const object_delta& aDelta, instant aNow, action_list& aActions);
  protocol::digest LocalDigest(instant aNow) const;
  void LeaveWhenDrained(instant aNow, action_list& aActions);
  // The node is draining, or its backend server is gone or leaving.
  bool MustVacateShards() const;
  // The same, or the failure domain is evacuated.
  bool MustHandOffShards() const;
  // Whether the nodes have had the time to write again what the store lost when
  // it was last restored.
  bool IsStoreRecovered(instant aNow) const;
  // Logs each change of the evacuated failure domains.
  void LogEvacuations(action_list& aActions);
  // Logs each configuration version once, when it takes effect on this node.
  void LogConfigurationChange(action_list& aActions);
  // The local identity while this node is a member.
  std::optional<node_identity> Self() const;
  bool IsWitnessOfOthers() const;

  lease_timing mTiming;
  std::string mControlAddress;
  cluster_view mView;
  local_membership mLocalMembership;
  witness_ledger mLedger;
  fencing_coordinator mFencingCoordinator;
  shard_manager mShardManager;
  balancer mBalancer;
  gossip_protocol mGossip;
  crash_control mCrashControl;
  unix_time mUnixTime{ 0 };
  traffic_report mTraffic;
  instant mTrafficAt = kNever;
  std::int64_t mLoggedConfiguration = 0;
  std::vector<std::string> mLoggedEvacuations;
  bool mIsViewFromStore = false; // the present event came from the store
  instant mDrainingSince = instant::max();
  std::int64_t mNextToken = 1;
};

} // namespace plantaindale
