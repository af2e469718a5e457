// node_machine is the whole control state of one node, as a value that takes
// events and gives actions. It reads no clock, opens no socket and starts no
// thread, so that a session of it can be written down and run again.
//
//   node_machine machine(description, timing, seed);
//   std::vector<action> actions = machine.Step(tick{}, now);
#pragma once

#include <optional>
#include <vector>

#include "plantaindale/lease/witness_ledger.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/membership/gossip_protocol.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/balancer.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/own_record.h"
#include "plantaindale/node/shard_keeper.h"
#include "plantaindale/node/taker.h"

namespace plantaindale {

// Not thread-safe: it belongs to the control thread.
class node_machine
{
public:
  node_machine(node_description aDescription,
               lease_timing aTiming,
               std::uint64_t aSeed);

  // The one command: takes the event in, and returns what is to be done.
  std::vector<action> Step(const event& aEvent, instant aNow);

  // Queries.
  const cluster_view& View() const { return mView; }
  const own_record& Own() const { return mOwn; }
  const witness_ledger& Ledger() const { return mLedger; }
  const taker& Taker() const { return mTaker; }
  const shard_keeper& Shards() const { return mShards; }
  const balancer& Balancer() const { return mBalancer; }
  bool IsMember() const { return mOwn.Phase() == membership_phase::kMember; }
  // The node has left or was replaced; its process should end.
  bool IsFinished() const;
  instant LeaseUntil() const { return mOwn.Lease().LeaseUntil(); }
  bool ShouldWatch(instant aNow) const
  {
    return mSpreader.ShouldWatch(aNow, mView);
  }
  duration WatchPause(instant aNow) const
  {
    return mSpreader.WatchPause(aNow, mView);
  }
  // What keeps a drain from ending, for people; empty when nothing does.
  std::string DrainWaitsFor(instant aNow) const;

private:
  void On(const tick& aEvent, instant aNow, action_list& aActions);
  void On(const message_received& aEvent, instant aNow, action_list& aActions);
  void On(const write_finished& aEvent, instant aNow, action_list& aActions);
  void On(const read_finished& aEvent, instant aNow, action_list& aActions);
  void On(const store_changed& aEvent, instant aNow, action_list& aActions);
  void On(const server_announced& aEvent, instant aNow, action_list& aActions);
  void On(const shard_quiet& aEvent, instant aNow, action_list& aActions);
  void On(const shard_warmed& aEvent, instant aNow, action_list& aActions);
  void On(const watch_ended& aEvent, instant aNow, action_list& aActions);
  void On(const traffic_report& aEvent, instant aNow, action_list& aActions);
  void On(const drain_requested& aEvent, instant aNow, action_list& aActions);
  void On(const undrain_requested& aEvent, instant aNow, action_list& aActions);

  void OnVouch(const protocol::vouch_request& aRequest,
               instant aNow,
               action_list& aActions);
  absl::Status MayVouch(const protocol::vouch_request& aRequest,
                        instant aNow) const;
  void OnRaiseFloor(const protocol::floor_request& aRequest,
                    instant aNow,
                    action_list& aActions);
  void OnWarm(const protocol::warm_request& aRequest, action_list& aActions);
  void Advance(instant aNow, action_list& aActions);
  void OnDigest(const protocol::digest& aDigest,
                instant aNow,
                action_list& aActions);
  void OnDelta(const object_delta& aDelta, instant aNow, action_list& aActions);
  protocol::digest OwnDigest(instant aNow) const;
  void FinishDrain(instant aNow, action_list& aActions);
  // Nothing here can, or soon will, run requests.
  bool GivesShardsAway() const;
  // Tells people once of each version that is in force here.
  void NoteConfiguration(action_list& aActions);
  std::optional<node_identity> Self() const;
  bool IsWitnessOfOthers() const;

  lease_timing mTiming;
  std::string mControlAddress;
  cluster_view mView;
  own_record mOwn;
  witness_ledger mLedger;
  taker mTaker;
  shard_keeper mShards;
  balancer mBalancer;
  gossip_protocol mSpreader;
  traffic_report mTraffic;
  instant mTrafficAt = kNever;
  std::int64_t mNotedConfiguration = 0;
  instant mDrainingSince = instant::max();
  std::int64_t mNextToken = 1;
};

} // namespace plantaindale
