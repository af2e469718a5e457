// taker watches the nodes for which this one is a witness, fences those whose
// lease has lapsed, and proves that a fenced node can never act again, so that
// its shards may be given to others.
//
// Any node may fence and any may prove; conditional updates of the node's
// record make the steps agree. Witnesses wait for each other by rank, so that
// as a rule just one writes.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/lease/retirement_proof.h"
#include "plantaindale/lease/witness_ledger.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

// Part of node_machine; pure. Not thread-safe.
class fencing_coordinator
{
public:
  // `aName`, `aProcess` and `aAddresses` are this node's.
  fencing_coordinator(std::string aName,
                      std::string aProcess,
                      node_addresses aAddresses,
                      lease_timing aTiming);

  // Commands. `aLedger` is this node's as a witness; `aSelf` its identity as a
  // member, if it is one.
  void Step(instant aNow,
            const cluster_view& aView,
            witness_ledger& aLedger,
            const std::optional<node_identity>& aSelf,
            bool aHoldsLease,
            action_list& aActions);
  void OnFencingReply(const protocol::floor_reply& aReply);
  // Whether the token was of a call of the taker's.
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView);

  // Queries.
  const std::map<std::string, retirement_proof>& Retirements() const
  {
    return mRetirements;
  }

private:
  // Whether this node was awake and had a lease for long enough to have heard
  // a living node: one that was paused or cut off takes itself for the cause.
  void UpdateAwakeTime(instant aNow, bool aHoldsLease);
  void Rescan(instant aNow,
              const cluster_view& aView,
              const std::optional<node_identity>& aSelf);
  bool IsSuspect(instant aNow,
                 const cluster_view& aView,
                 const node_record& aRecord,
                 const witness_ledger& aLedger,
                 const std::optional<node_identity>& aSelf) const;
  bool IsOrphan(instant aNow,
                const cluster_view& aView,
                const node_record& aRecord) const;
  duration RankDelay(const cluster_view& aView,
                     const node_record& aRecord,
                     const std::optional<node_identity>& aSelf) const;
  void Fence(instant aNow, const node_record& aRecord, action_list& aActions);
  void AdvanceRetirement(instant aNow,
                         const cluster_view& aView,
                         const node_record& aRecord,
                         witness_ledger& aLedger,
                         const std::optional<node_identity>& aSelf,
                         action_list& aActions);
  void RequestFencing(instant aNow,
                      const cluster_view& aView,
                      retirement_proof& aRetirement,
                      witness_ledger& aLedger,
                      const std::optional<node_identity>& aSelf,
                      action_list& aActions);
  void Write(instant aNow, const node_record& aRecord, action_list& aActions);

  // A write of a node's record that is under way.
  struct pending_write
  {
    std::string mNodeName;
    instant mBaseLearntAt; // when the revision it is based on was learnt
  };

  std::string mName;
  std::string mProcess;
  node_addresses mAddresses;
  lease_timing mTiming;
  std::map<std::string, retirement_proof> mRetirements; // by victim's name
  std::set<std::string> mFencedLocally; // victims that this node fenced
  std::map<std::int64_t, pending_write> mWrites; // by token
  std::map<std::int64_t, std::string> mReads;
  std::map<std::string, instant> mNextWriteAt; // no new write before
  instant mNextFencingRequest = kNever;
  instant mAwakeSince = instant::max();
  instant mLastStep = kNever;
  // The nodes to look at often: those that this one vouches for, fenced ones
  // and those without witnesses. Found anew when the view has changed.
  std::vector<std::string> mWatchedNodes;
  std::int64_t mScannedGeneration = 0;
  instant mNextScan = kNever;
  instant mNextChangeCheck = kNever;
};

} // namespace plantaindale
