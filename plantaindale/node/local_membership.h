// local_membership maintains the local node's record in the store: it joins
// under a new incarnation, renews the lease, replaces witnesses, publishes the
// backend server, and leaves. At most one write is outstanding.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "plantaindale/lease/lease_holder.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/membership/node_record.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/grant_binding.h"

namespace plantaindale {

// Description of the local node, from its settings.
struct node_description
{
  std::string mProcess; // random at each start, distinguishes processes
  std::string mName;
  std::string mRegion;
  std::string mFailureDomain;
  node_addresses mAddresses;
  double mCapacity = kDefaultCapacity; // see node_record
  // The operator may evacuate failure domains, so the node uses its server only
  // once it knows which are evacuated.
  bool mAwaitsEvacuations = false;
};

enum class membership_phase
{
  kNotJoined, // waits for the store, or until the previous one is retired
  kJoining,
  kMember,
  kLeft,
  kReplaced // another process has taken the name; this one must exit
};

// Part of node_machine: performs no I/O and reads no clock. Not thread-safe.
class local_membership
{
public:
  local_membership(node_description aDescription, lease_timing aTiming);

  void Step(instant aNow, const cluster_view& aView, action_list& aActions);
  // Both return whether the token belongs to a call of this object.
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView,
                      action_list& aActions);
  void OnVouch(const protocol::vouch_reply& aReply, instant aNow);
  // Sets the local backend server; none when it is gone. If a server that keeps
  // grants has restarted, the node rejoins under a new incarnation, because the
  // new process has lost the state of the old one.
  void SetBackendServer(std::optional<announced_server> aServer);
  // Until when a process at the server's address may hold keys granted by this
  // node. It joins not before: others may own the shards of an incarnation as
  // soon as the next one has joined.
  void SetGrantsHeldUntil(instant aTime) { mGrantsHeldUntil = aTime; }
  // The node must join under a new incarnation.
  void RequestRejoin() { mMustRejoin = true; }
  // Whether the store has all records again after its last restore. Until then
  // a member without a lease may have been retired, which the store has lost,
  // so it does not write its record: a write would give it a lease. A node
  // joins only if the former process under its name has certainly exited.
  void SetStoreRecovered(bool aIsRecovered)
  {
    mIsStoreRecovered = aIsRecovered;
  }
  void SetDraining(bool aDraining) { mDraining = aDraining; }
  // Leaves the cluster: a member writes this to its record first, a node that
  // has not joined leaves at once.
  void RequestLeave(action_list& aActions);

  membership_phase Phase() const { return mPhase; }
  const node_description& Description() const { return mDescription; }
  // Valid from kJoining on.
  node_identity Identity() const { return mHolder.Self(); }
  bool IsDraining() const { return mDraining; }
  const lease_holder& Lease() const { return mHolder; }
  // The end of the lease; earlier than that of the holder if the store lost the
  // record and it was not written again in time.
  instant LeaseUntil(const cluster_view& aView) const;
  const std::optional<announced_server>& Server() const { return mServer; }
  // The server in the record of a former process of this node; none until such
  // a record is known. It stays when the record has been replaced.
  const std::optional<announced_server>& FormerServer() const
  {
    return mFormerServer;
  }
  // Increases with each SetBackendServer().
  std::int64_t ServerGeneration() const { return mServerGeneration; }
  // What grants may be sent under: none unless this node is a member whose
  // present incarnation was joined for the present start of the server.
  std::optional<grant_binding> GrantBinding() const;

private:
  void Join(instant aNow, const cluster_view& aView, action_list& aActions);
  // Keeps what only the record of a former process tells before it is replaced.
  void KeepFormerServer(const node_record& aFormer);
  // The server to join with: the one that was announced, or else that of the
  // former process. It goes on leaving if it was leaving.
  std::optional<announced_server> ServerToJoinWith() const;
  void RenewAtWitnesses(instant aNow,
                        const cluster_view& aView,
                        action_list& aActions);
  void UpdateRecord(instant aNow,
                    const cluster_view& aView,
                    action_list& aActions);
  node_record DesiredRecord(instant aNow,
                            const node_record& aKnown,
                            const cluster_view& aView) const;
  bool MayChangeWitnesses(instant aNow,
                          const node_record& aKnown,
                          const cluster_view& aView) const;
  std::set<node_identity> UnresponsiveWitnesses(instant aNow) const;
  // Writes `aRecord` with a higher count of writes, so that it differs from the
  // record at revision `aBase`, which `aRecord` was made from.
  void SendWrite(instant aNow,
                 node_record aRecord,
                 std::int64_t aBase,
                 action_list& aActions);
  void DetectFencing(instant aNow,
                     const cluster_view& aView,
                     action_list& aActions);
  // Whether DesiredRecord() would equal the saved record `aKnown`. False if
  // deciding that takes a look at all nodes.
  bool IsRecordCurrent(instant aNow,
                       const node_record& aKnown,
                       const cluster_view& aView) const;
  // Whether the store has the record as this node needs it.
  bool IsRecordSaved(const cluster_view& aView,
                     const node_record& aKnown) const;
  bool MayWriteRecord(instant aNow) const;
  void ScheduleRejoin(instant aNow);
  bool IsReplaced(const cluster_view& aView) const;
  // Whether the process behind the existing record has certainly exited: it was
  // this process, or it listened on the addresses that this one listens on now.
  bool IsFormerProcessGone(const node_record& aFormer) const;
  void Rejoin(instant aNow, action_list& aActions);

  node_description mDescription;
  lease_timing mTiming;
  membership_phase mPhase = membership_phase::kNotJoined;
  lease_holder mHolder;
  std::optional<announced_server> mServer;
  std::optional<announced_server> mFormerServer;
  std::int64_t mServerGeneration = 0;
  // The start of the server that this incarnation grants keys to; it may be
  // gone by now. None: there was no server since the node has joined.
  std::optional<announced_server> mBoundServer;
  bool mMustRejoin = false;
  instant mGrantsHeldUntil = kNever;
  std::int64_t mFirstIncarnation = 0; // of this process; 0: none
  std::int64_t mLastIncarnation = 0;
  bool mDraining = false;
  bool mLeaving = false;
  bool mIsStoreRecovered = true;
  std::optional<std::int64_t> mWriteToken;
  std::int64_t mWriteBase = 0; // revision that the latest write is based on
  std::optional<std::int64_t> mReadToken;
  instant mNextRound = kNever;
  instant mNextWrite = kNever;
  instant mNextWitnessRebalance = kNever;
  bool mHasSpreadWitnesses = false; // since this node joined
  instant mJoinedAt = kNever;
  duration mRejoinBackoff = std::chrono::seconds(1);
};

} // namespace plantaindale
