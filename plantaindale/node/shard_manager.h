// shard_manager maintains the shard map: it assigns shards without a live owner
// and moves local shards to other nodes. At no time may two nodes serve a
// shard.
//
// A move has these steps: the target warms up the shard; the owner closes it to
// new requests; the last running request ends; the owner writes the target into
// the map. If the result of that write is lost, the owner does not resume the
// shard, because the write may still take effect. It repeats the write on the
// current revision until one succeeds or the entry names another owner.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "plantaindale/lease/lease_timing.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

// Part of node_machine: performs no I/O and reads no clock. Not thread-safe.
class shard_manager
{
public:
  shard_manager(std::string aControlAddress, lease_timing aTiming);

  // What this node has to do with the shard map.
  struct duties
  {
    bool mMustHandOff = false; // all local shards are moved to other nodes
    // Owners may be changed. False while the store may lack owners that it had
    // before a restore; pages with such owners are only written again.
    bool mMayChangeOwners = true;
    // Shards that no other node takes are given up too.
    bool mMayVacate = true;
  };

  // `aSelf` is the local identity.
  void Step(instant aNow,
            const cluster_view& aView,
            const node_identity& aSelf,
            duties aDuties,
            action_list& aActions);
  // Starts moving the shard to `aTarget`. Does nothing unless this node owns
  // the shard and is not moving it already.
  void StartMove(const shard_id& aShard,
                 const node_identity& aTarget,
                 instant aNow,
                 const cluster_view& aView,
                 const node_identity& aSelf,
                 action_list& aActions);
  void OnWarmed(const protocol::warm_reply& aReply,
                instant aNow,
                action_list& aActions);
  void OnDrained(std::span<const shard_id> aShards,
                 const std::string& aHandover);
  // Both return whether the token belongs to a call of this object.
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView,
                      action_list& aActions);
  // The node is no longer a member and owns no shards.
  void CancelMoves();

  // Shards for which this node must not start new requests.
  std::set<shard_id> ClosedShards() const;
  // Increases whenever ClosedShards() changes.
  std::int64_t ClosedGeneration() const { return mClosedGeneration; }
  std::size_t ActiveMoves() const { return mMoves.size(); }
  int OwnedShards(const cluster_view& aView, const node_identity& aSelf) const;

private:
  enum class move_phase
  {
    kWarming,
    kProbing, // checks that the store answers; without it a move can't finish
    kClosing, // closed to new requests; earlier ones still run
    kWriting  // no request runs; the map entry must be written
  };
  struct shard_move
  {
    node_identity mTarget; // empty name: no new owner yet
    move_phase mPhase = move_phase::kWarming;
    instant mWarmUpDeadline = kNever;
    bool mHasUnresolvedWrite = false; // a map write may have taken effect
    std::string mHandover; // from the local server, for that of the next owner
  };
  struct page_key
  {
    std::string mService;
    int mPage = 0;
    auto operator<=>(const page_key&) const = default;
  };

  void Drain(instant aNow,
             const cluster_view& aView,
             const node_identity& aSelf,
             bool aMayVacate,
             action_list& aActions);
  void AdvanceMoves(instant aNow,
                    const cluster_view& aView,
                    const node_identity& aSelf,
                    action_list& aActions);
  // Checks that the store answers, unless a recent update shows that it does.
  void ProbeStore(const shard_id& aShard,
                  shard_move& aMove,
                  instant aNow,
                  action_list& aActions);
  void Close(const shard_id& aShard, shard_move& aMove, action_list& aActions);
  void OnStoreProbed(const page_key& aKey,
                     bool aIsReachable,
                     action_list& aActions);
  void OnWriteFailed(const page_key& aKey, bool aMayHaveSucceeded);
  bool IsOnPage(const page_key& aKey, const shard_id& aShard) const;
  void WritePages(instant aNow,
                  const cluster_view& aView,
                  const node_identity& aSelf,
                  action_list& aActions);
  void WritePage(instant aNow,
                 const cluster_view& aView,
                 const page_key& aKey,
                 int aShardCount,
                 bool aHasMove,
                 const node_identity& aSelf,
                 action_list& aActions);
  bool AssignVacantShards(instant aNow,
                          const cluster_view& aView,
                          shard_page& aPage) const;
  // Whether to leave the shards of a retired owner unassigned for now: a
  // restarted node of the same name may reclaim them, or its server may still
  // hold them.
  bool IsSuccessorExpected(instant aNow,
                           const cluster_view& aView,
                           const node_identity& aOwner) const;
  // Whether membership changed recently, so that more nodes may be joining.
  bool IsSettling(instant aNow) const;
  bool ApplyMoves(const cluster_view& aView,
                  const node_identity& aSelf,
                  shard_page& aPage) const;
  // Changes the owners on the page as far as this node may; returns whether it
  // did.
  // Records that nothing is to be changed in this revision of the page.
  void FinishPage(const page_key& aKey, std::int64_t aRevision);
  // The node that assigns the vacant shards of the page.
  const std::string& ProposerOf(const cluster_view& aView,
                                const page_key& aKey);
  bool ChangeOwners(instant aNow,
                    const cluster_view& aView,
                    const page_key& aKey,
                    const node_identity& aSelf,
                    shard_page& aPage);
  void UpdateMembership(instant aNow, const cluster_view& aView);
  // Whether nothing is to be changed in the present revision of the page.
  bool IsFilled(const cluster_view& aView, const page_key& aKey) const;
  // Updates mUnfilledPages if the view has changed.
  void FindUnfilledPages(const cluster_view& aView);

  std::string mControlAddress;
  lease_timing mTiming;
  std::map<shard_id, shard_move>::iterator EraseMove(
    std::map<shard_id, shard_move>::iterator aMove);

  std::map<shard_id, shard_move> mMoves;
  bool mMayChangeOwners = true;
  std::int64_t mClosedGeneration = 0;
  // The view in which AdvanceMoves() and Drain() last looked at every shard.
  std::int64_t mAdvancedGeneration = -1;
  std::int64_t mDrainedGeneration = -1;
  // Earliest warm-up deadline of the moves.
  instant mNextWarmUpDeadline = instant::max();
  std::map<std::int64_t, page_key> mWrites;
  std::map<std::int64_t, page_key> mReads;
  std::map<page_key, instant> mNextWriteAt;
  // The proposer of each page; cleared when the membership changes.
  std::map<page_key, std::string> mProposers;
  std::string mMembershipFingerprint;
  std::int64_t mMembershipGeneration = -1; // of the records
  instant mMembershipSince = kNever;
  // Revision at which a page was last seen without vacant shards.
  std::map<page_key, std::int64_t> mFilledRevisions;
  // Pages that were not filled when the view had mUnfilledGeneration: the index
  // of the service in the configuration, and the page.
  std::set<std::pair<std::size_t, int>> mUnfilledPages;
  std::int64_t mUnfilledGeneration = -1;
  std::int64_t mSeenGeneration = -1;
  // Newest store revision known to this node, and when it was observed.
  std::int64_t mSeenRevision = 0;
  instant mRevisionSeenAt = kNever;
  instant mNextMoveAttempt = kNever;
  instant mNextFullScan = kNever;
  instant mNextChangeCheck = kNever;
};

} // namespace plantaindale
