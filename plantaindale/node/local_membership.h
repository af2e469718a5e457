// own_record keeps this process's record in the platform: it joins under a new
// incarnation, renews the lease, replaces witnesses, tells of the backend
// server, and leaves. One write is under way at a time.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "plantaindale/lease/lease_holder.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/membership/node_record.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

// What a node says of itself, from its settings.
struct node_description
{
  std::string mProcess; // made up at each start, to tell processes apart
  std::string mName;
  std::string mRegion;
  std::string mFailureDomain;
  node_addresses mAddresses;
};

enum class membership_phase
{
  kNotJoined, // waits for the platform, or for the former incarnation's end
  kJoining,
  kMember,
  kLeft,
  kReplaced // another process has taken the name; this one must end
};

// Part of node_machine; pure. Not thread-safe.
class local_membership
{
public:
  local_membership(node_description aDescription, lease_timing aTiming);

  // Commands.
  void Step(instant aNow, const cluster_view& aView, action_list& aActions);
  // Both return whether the token was of this record's own call.
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView,
                      action_list& aActions);
  void OnVouch(const protocol::vouch_reply& aReply, instant aNow);
  // What is known of the backend server beside this node. Another start of it
  // is another incarnation of the node: what its predecessor held is gone.
  void SetBackendServer(std::optional<announced_server> aServer);
  void SetDraining(bool aDraining) { mDraining = aDraining; }
  // Writes that this node has left, with nothing more to do. Outside there is
  // nothing to write.
  void RequestLeave(action_list& aActions);

  // Queries.
  membership_phase Phase() const { return mPhase; }
  const node_description& Description() const { return mDescription; }
  // Meaningful from kJoining on.
  node_identity Identity() const { return mHolder.Self(); }
  bool IsDraining() const { return mDraining; }
  const lease_holder& Lease() const { return mHolder; }
  const std::optional<announced_server>& Server() const { return mServer; }

private:
  void Join(instant aNow, const cluster_view& aView, action_list& aActions);
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
  void SendWrite(instant aNow,
                 const node_record& aRecord,
                 std::int64_t aBase,
                 action_list& aActions);
  void DetectFencing(instant aNow,
                     const cluster_view& aView,
                     action_list& aActions);
  void ScheduleRejoin(instant aNow);
  bool IsReplaced(const cluster_view& aView) const;
  // Whether the former incarnation has ended for certain: it was this very
  // process, or one that listened on the addresses that this one listens on.
  bool IsFormerProcessGone(const node_record& aFormer) const;
  void Rejoin(instant aNow, action_list& aActions);

  node_description mDescription;
  lease_timing mTiming;
  membership_phase mPhase = membership_phase::kNotJoined;
  lease_holder mHolder;
  std::optional<announced_server> mServer;
  // The last server that was announced, though it may be gone by now.
  std::optional<announced_server> mLastServer;
  bool mMustRejoin = false;
  std::int64_t mLastIncarnation = 0; // of this process; 0: none
  bool mDraining = false;
  bool mLeaving = false;
  std::optional<std::int64_t> mWriteToken;
  std::optional<std::int64_t> mReadToken;
  instant mNextRound = kNever;
  instant mNextWrite = kNever;
  instant mNextWitnessRebalance = kNever;
  std::int64_t mRenewals = 0;
  instant mJoinedAt = kNever;
  duration mRejoinBackoff = std::chrono::seconds(1);
};

} // namespace plantaindale
