// fencing_coordinator fences nodes whose lease has expired and retires them
// once no lease of theirs can be valid any more, so that their shards can be
// reassigned. It monitors the nodes for which this node is a witness.
//
// Any node may fence or retire another; conditional updates of the node's
// record serialize them. Each witness delays its attempt by its rank, so that
// usually only one of them writes.
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

// Part of node_machine: performs no I/O and reads no clock. Not thread-safe.
class fencing_coordinator
{
public:
  // `aName`, `aProcess` and `aAddresses` describe the local node.
  fencing_coordinator(std::string aName,
                      std::string aProcess,
                      node_addresses aAddresses,
                      lease_timing aTiming);

  // `aLedger` is the local witness ledger; `aSelf` is the local identity while
  // this node is a member.
  void Step(instant aNow,
            const cluster_view& aView,
            witness_ledger& aLedger,
            const std::optional<node_identity>& aSelf,
            bool aHoldsLease,
            action_list& aActions);
  // Writes the records of fenced, retired and left nodes again that the store
  // has lost. Without them such a node would seem to be active.
  void RewriteLost(instant aNow,
                   const cluster_view& aView,
                   action_list& aActions);
  void OnFencingReply(const protocol::floor_reply& aReply);
  // Both return whether the token belongs to a call of this object.
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView);

  // Retirements under way, by node name.
  const std::map<std::string, retirement_proof>& Retirements() const
  {
    return mRetirements;
  }

private:
  // Tracks since when this node has run without a pause and held a lease. After
  // a pause or a network partition it must not suspect others because of
  // messages that it missed itself.
  void UpdateAwakeTime(instant aNow, bool aHoldsLease);
  void Rescan(instant aNow,
              const cluster_view& aView,
              const std::optional<node_identity>& aSelf);
  // Updates mCandidates if a record or the local identity has changed.
  void UpdateCandidates(const cluster_view& aView,
                        const std::optional<node_identity>& aSelf);
  bool IsSuspect(instant aNow,
                 const cluster_view& aView,
                 const node_record& aRecord,
                 const witness_ledger& aLedger,
                 const std::optional<node_identity>& aSelf) const;
  // When a majority of the node's witnesses will have been gone for the orphan
  // timeout, so that they can't fence it; instant::max() while there is one.
  static instant OrphanedAt(const cluster_view& aView,
                            const node_record& aRecord);
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

  // A write of a node's record whose result is not known yet.
  struct pending_write
  {
    std::string mNodeName;
    instant mBaseObservedAt; // when the base revision was observed
  };

  std::string mName;
  std::string mProcess;
  node_addresses mAddresses;
  lease_timing mTiming;
  std::map<std::string, retirement_proof> mRetirements; // by node name
  std::set<std::string> mFencedLocally;          // nodes fenced by this node
  std::map<std::int64_t, pending_write> mWrites; // by token
  std::map<std::int64_t, std::string> mReads;
  std::map<std::string, instant> mNextWriteAt; // earliest next write
  instant mNextFencingRequest = kNever;
  instant mAwakeSince = instant::max();
  instant mLastStep = kNever;
  // A node that must be checked at each step from a time on.
  struct watch_candidate
  {
    std::string mNodeName;
    instant mWatchedFrom;
  };
  // By node name: those that this node is a witness of, fenced ones, and those
  // without enough live witnesses.
  std::vector<watch_candidate> mCandidates;
  std::int64_t mCandidatesGeneration = -1; // of the records
  std::optional<node_identity> mCandidatesSelf;
  // The candidates to check now. Rebuilt when the view changes.
  std::vector<std::string> mWatchedNodes;
  std::int64_t mScannedGeneration = 0;
  instant mNextScan = kNever;
  instant mNextChangeCheck = kNever;
};

} // namespace plantaindale
