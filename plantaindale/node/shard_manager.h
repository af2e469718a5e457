// shard_keeper looks after the shard map: it gives shards without a living
// owner to nodes, and hands this node's own shards to others without ever
// letting two nodes act.
//
// A move goes: the successor warms the shard up; the owner closes it; the last
// request ends; the owner writes the successor into the map. If the answer of
// that write is lost the owner does not resume: it writes again, on the
// revision that is then current, until a write of its own has succeeded or the
// entry names somebody else. So a late write can't surprise anybody.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "plantaindale/lease/lease_timing.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

// Part of node_machine; pure. Not thread-safe.
class shard_manager
{
public:
  shard_manager(std::string aControlAddress, lease_timing aTiming);

  // Commands. `aSelf` is this node as a member; `aGivesAway`: it hands all that
  // it owns to others.
  void Step(instant aNow,
            const cluster_view& aView,
            const node_identity& aSelf,
            bool aMustHandOff,
            action_list& aActions);
  // Starts to hand the shard to `aTarget` when this node owns it and isn't
  // handing it over already.
  void StartMove(const shard_id& aShard,
                 const node_identity& aTarget,
                 instant aNow,
                 const cluster_view& aView,
                 const node_identity& aSelf,
                 action_list& aActions);
  void OnWarmed(const protocol::warm_reply& aReply,
                instant aNow,
                action_list& aActions);
  void OnDrained(const shard_id& aShard, const std::string& aHandover);
  bool OnWriteFinished(const write_finished& aEvent,
                       instant aNow,
                       cluster_view& aView,
                       action_list& aActions);
  bool OnReadFinished(const read_finished& aEvent,
                      instant aNow,
                      cluster_view& aView,
                      action_list& aActions);
  // The node is fenced: nothing is its own any more.
  void CancelMoves() { mMoves.clear(); }

  // Queries.
  // Shards for which no new request may begin here.
  std::set<shard_id> ClosedShards() const;
  std::size_t ActiveMoves() const { return mMoves.size(); }
  int OwnedShards(const cluster_view& aView, const node_identity& aSelf) const;

private:
  enum class move_phase
  {
    kWarming,
    kProbing, // does the platform answer? Without it the move can't end
    kClosing, // requests that began before still run
    kWriting  // quiet; the map is to be written
  };
  struct shard_move
  {
    node_identity mTarget; // without a name: to nobody
    move_phase mPhase = move_phase::kWarming;
    instant mWarmUpDeadline = kNever;
    bool mHasUnresolvedWrite = false; // a map write may have taken effect
    std::string mHandover;            // of the own server, for the next owner's
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
             action_list& aActions);
  void AdvanceMoves(instant aNow,
                    const cluster_view& aView,
                    const node_identity& aSelf,
                    action_list& aActions);
  // Asks whether the platform answers, where that isn't known from news that
  // has just come.
  void ProbeStore(const shard_id& aShard,
                  shard_move& aMove,
                  instant aNow,
                  action_list& aActions);
  void Close(const shard_id& aShard, shard_move& aMove, action_list& aActions);
  void OnStoreProbed(const page_key& aKey,
                     bool aAnswers,
                     action_list& aActions);
  void OnWriteFailed(const page_key& aKey, bool aIsInDoubt);
  bool IsOnPage(const page_key& aKey, const shard_id& aShard) const;
  void WritePages(instant aNow,
                  const cluster_view& aView,
                  const node_identity& aSelf,
                  action_list& aActions);
  void WritePage(instant aNow,
                 const cluster_view& aView,
                 const page_key& aKey,
                 int aShardCount,
                 const node_identity& aSelf,
                 action_list& aActions);
  bool AssignVacantShards(instant aNow,
                          const cluster_view& aView,
                          shard_page& aPage) const;
  // Whether a retired owner's successor under the same name may still come for
  // its shards, or its server may still hold them.
  bool IsSuccessorExpected(instant aNow,
                           const cluster_view& aView,
                           const node_identity& aOwner) const;
  // Whether the nodes that could own a new page's shards are still joining.
  bool IsSettling(instant aNow) const;
  bool ApplyMoves(const cluster_view& aView,
                  const node_identity& aSelf,
                  shard_page& aPage) const;
  void UpdateMembership(instant aNow, const cluster_view& aView);

  std::string mControlAddress;
  lease_timing mTiming;
  std::map<shard_id, shard_move> mMoves;
  std::map<std::int64_t, page_key> mWrites;
  std::map<std::int64_t, page_key> mReads;
  std::map<page_key, instant> mNextWriteAt;
  // The proposer of each page, while membership stays as it is.
  std::map<page_key, std::string> mProposers;
  std::string mMembershipFingerprint;
  instant mMembershipSince = kNever;
  // The revision at which a page was last found without vacancies.
  std::map<page_key, std::int64_t> mFilledRevisions;
  std::int64_t mSeenGeneration = -1;
  // The store's newest revision known here, and when it was learnt.
  std::int64_t mSeenRevision = 0;
  instant mRevisionSeenAt = kNever;
  instant mNextMoveAttempt = kNever;
  instant mNextFullScan = kNever;
  instant mNextChangeCheck = kNever;
};

} // namespace plantaindale
