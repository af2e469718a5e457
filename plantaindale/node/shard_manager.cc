#include "plantaindale/node/shard_manager.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/membership/witness_selection.h"
#include "plantaindale/placement/shard_assigner.h"
#include "plantaindale/store/write_conflict.h"

namespace plantaindale {
namespace {

// Concurrent moves of a draining node.
constexpr std::size_t kMaxConcurrentMoves = 512;
// Nodes that start together join and receive their servers' first announcements
// within this time.
constexpr duration kMembershipSettleTime = std::chrono::milliseconds(1600);
// The server of a restarted node announces itself within about one heartbeat.
constexpr duration kSuccessorTimeout = std::chrono::milliseconds(1700);
// A target that is not warm by then takes over the shard cold.
constexpr duration kWarmUpTimeout = std::chrono::seconds(2);
constexpr duration kWriteRetryPause = std::chrono::milliseconds(50);
// No move starts for this long after the store failed to answer.
constexpr duration kUnreachableBackoff = std::chrono::milliseconds(400);
// An update received within this time shows that the store is reachable; gossip
// delays an update by only a few milliseconds.
constexpr duration kReachabilityTimeout = std::chrono::milliseconds(300);
// View changes within this interval are processed together.
constexpr duration kChangeBatchInterval = std::chrono::milliseconds(20);
// Extra delay per rank for writing again what the store has lost, so that the
// node ranked before can act first.
constexpr duration kRewriteRankDelay = std::chrono::milliseconds(150);
constexpr std::int64_t kMaxRewriteRank = 8;
// Interval of full scans while nothing changes.
constexpr duration kFullScanInterval = std::chrono::seconds(1);

// Returns the node that assigns owners to the page's vacant shards. Any node
// may do so; a single one avoids write conflicts.
std::string
ChooseProposer(const cluster_view& aView,
               std::string_view aService,
               std::string_view aPageName)
{
  std::string proposer;
  std::uint64_t best = 0;
  for (const auto& [name, record] : aView.Nodes()) {
    const std::uint64_t score = RendezvousScore(aPageName, name);
    if (record.AcceptsWork(aService) && (proposer.empty() || score < best)) {
      proposer = name;
      best = score;
    }
  }
  return proposer;
}

// Number of nodes that write the page before `aSelf` does.
std::int64_t
RankAsWriter(const cluster_view& aView,
             std::string_view aService,
             std::string_view aPageName,
             std::string_view aSelf)
{
  const std::uint64_t local_score = RendezvousScore(aPageName, aSelf);
  return std::count_if(
    aView.Nodes().begin(), aView.Nodes().end(), [&](const auto& aNode) {
      return aNode.second.AcceptsWork(aService) && aNode.first != aSelf &&
             RendezvousScore(aPageName, aNode.first) < local_score;
    });
}

bool
IsVacant(const cluster_view& aView, const shard_entry& aEntry)
{
  return !aEntry.HasOwner() || aView.IsRetired(aEntry.mOwner);
}

bool
HasVacantShard(const cluster_view& aView, const shard_page& aPage)
{
  // Neighbours often have the same owner.
  const node_identity* previous_owner = nullptr;
  for (const shard_entry& entry : aPage.mEntries) {
    const bool is_same =
      previous_owner != nullptr && entry.mOwner == *previous_owner;
    if (!is_same && IsVacant(aView, entry)) {
      return true;
    }
    previous_owner = &entry.mOwner;
  }
  return false;
}

} // namespace

shard_manager::shard_manager(std::string aControlAddress, lease_timing aTiming)
  : mControlAddress(std::move(aControlAddress))
  , mTiming(aTiming)
{
}

void
shard_manager::Step(instant aNow,
                    const cluster_view& aView,
                    const node_identity& aSelf,
                    duties aDuties,
                    action_list& aActions)
{
  mMayChangeOwners = aDuties.mMayChangeOwners;
  if (aView.Revision() > mSeenRevision) {
    mSeenRevision = aView.Revision();
    mRevisionSeenAt = aNow;
  }
  if (aDuties.mMustHandOff) {
    Drain(aNow, aView, aSelf, aDuties.mMayVacate, aActions);
  }
  AdvanceMoves(aNow, aView, aSelf, aActions);
  WritePages(aNow, aView, aSelf, aActions);
}

void
shard_manager::Drain(instant aNow,
                     const cluster_view& aView,
                     const node_identity& aSelf,
                     bool aMayVacate,
                     action_list& aActions)
{
  const bool has_scanned = mDrainedGeneration == aView.Generation();
  if (has_scanned || mMoves.size() >= kMaxConcurrentMoves ||
      aNow < mNextMoveAttempt || !mMayChangeOwners) {
    return;
  }
  for (const service_configuration& service : aView.Configuration().mServices) {
    if (!service.mKey) {
      continue;
    }
    shard_assigner filler(aView, service.mName, aSelf.name);
    for (int index = 0; index < service.mShards; ++index) {
      const shard_id shard{ service.mName, index };
      const shard_entry* entry = aView.FindEntry(shard);
      const bool is_owned_here = entry != nullptr && entry->mOwner == aSelf;
      if (!is_owned_here || mMoves.contains(shard)) {
        continue;
      }
      const auto target = filler.Assign(shard);
      if (!target && !aMayVacate) {
        break; // nor does any node take the service's other shards
      }
      StartMove(
        shard, target.value_or(node_identity()), aNow, aView, aSelf, aActions);
      if (mMoves.size() >= kMaxConcurrentMoves) {
        return;
      }
    }
  }
  mDrainedGeneration = aView.Generation();
}

void
shard_manager::StartMove(const shard_id& aShard,
                         const node_identity& aTarget,
                         instant aNow,
                         const cluster_view& aView,
                         const node_identity& aSelf,
                         action_list& aActions)
{
  const shard_entry* entry = aView.FindEntry(aShard);
  const bool may_move = entry != nullptr && entry->mOwner == aSelf &&
                        aTarget != aSelf && !mMoves.contains(aShard) &&
                        aNow >= mNextMoveAttempt && mMayChangeOwners;
  if (!may_move) {
    return;
  }
  shard_move& started_move = mMoves[aShard];
  started_move.mTarget = aTarget;
  started_move.mWarmUpDeadline = aNow + kWarmUpTimeout;
  mNextWarmUpDeadline =
    std::min(mNextWarmUpDeadline, started_move.mWarmUpDeadline);
  const node_record* target = aView.FindNode(aTarget);
  const bool can_warm_up =
    target != nullptr && target->mServer && !target->mServer->mKeepsGrants;
  if (!can_warm_up) {
    ProbeStore(aShard, started_move, aNow, aActions);
    return;
  }
  protocol::warm_request request;
  request.service_name = aShard.mService;
  request.shard = aShard.mIndex;
  request.owner_address = mControlAddress;
  request.target = aTarget;
  control_message message;
  message.__set_warm(request);
  aActions.Send(target->mAddresses.mControl, message);
}

void
shard_manager::OnWarmed(const protocol::warm_reply& aReply,
                        instant aNow,
                        action_list& aActions)
{
  const shard_id shard{ aReply.service_name, aReply.shard };
  const auto found = mMoves.find(shard);
  const bool is_expected = found != mMoves.end() &&
                           found->second.mPhase == move_phase::kWarming &&
                           found->second.mTarget == aReply.target;
  if (is_expected) {
    ProbeStore(shard, found->second, aNow, aActions);
  }
}

void
shard_manager::ProbeStore(const shard_id& aShard,
                          shard_move& aMove,
                          instant aNow,
                          action_list& aActions)
{
  if (aNow < mRevisionSeenAt + kReachabilityTimeout) {
    Close(aShard, aMove, aActions);
    return;
  }
  aMove.mPhase = move_phase::kProbing;
  const page_key key{ aShard.mService, aShard.mIndex / kShardsPerPage };
  const bool is_probed =
    std::any_of(mReads.begin(), mReads.end(), [&](const auto& aRead) {
      return aRead.second == key;
    });
  if (is_probed) {
    return; // one answer covers all moves of the page
  }
  mReads[aActions.Read(kShardPageKind, PageName(key.mService, key.mPage))] =
    key;
}

bool
shard_manager::IsOnPage(const page_key& aKey, const shard_id& aShard) const
{
  return aShard.mService == aKey.mService &&
         aShard.mIndex / kShardsPerPage == aKey.mPage;
}

void
shard_manager::OnStoreProbed(const page_key& aKey,
                             bool aIsReachable,
                             action_list& aActions)
{
  for (auto it = mMoves.begin(); it != mMoves.end();) {
    auto& [shard, move] = *it;
    const bool is_probed =
      IsOnPage(aKey, shard) && move.mPhase == move_phase::kProbing;
    if (is_probed && !aIsReachable) {
      // The shard is not closed yet, so this node keeps serving it.
      it = EraseMove(it);
      continue;
    }
    if (is_probed) {
      Close(shard, move, aActions);
    }
    ++it;
  }
}

// A write that was never sent cancels the move, and this node resumes the
// shard. After one that may have taken effect it must not resume.
void
shard_manager::OnWriteFailed(const page_key& aKey, bool aMayHaveSucceeded)
{
  for (auto it = mMoves.begin(); it != mMoves.end();) {
    auto& [shard, move] = *it;
    const bool is_written =
      IsOnPage(aKey, shard) && move.mPhase == move_phase::kWriting;
    if (is_written && !aMayHaveSucceeded && !move.mHasUnresolvedWrite) {
      it = EraseMove(it);
      continue;
    }
    move.mHasUnresolvedWrite =
      move.mHasUnresolvedWrite || (is_written && aMayHaveSucceeded);
    ++it;
  }
}

void
shard_manager::Close(const shard_id& aShard,
                     shard_move& aMove,
                     action_list& aActions)
{
  aMove.mPhase = move_phase::kClosing;
  ++mClosedGeneration;
  aActions.Add(close_shard{ aShard });
}

void
shard_manager::OnDrained(std::span<const shard_id> aShards,
                         const std::string& aHandover)
{
  for (const shard_id& shard : aShards) {
    const auto found = mMoves.find(shard);
    if (found != mMoves.end() && found->second.mPhase == move_phase::kClosing) {
      found->second.mPhase = move_phase::kWriting;
      found->second.mHandover = aHandover;
    }
  }
}

void
shard_manager::CancelMoves()
{
  mMoves.clear();
  ++mClosedGeneration;
  mDrainedGeneration = -1;
}

std::map<shard_id, shard_manager::shard_move>::iterator
shard_manager::EraseMove(std::map<shard_id, shard_move>::iterator aMove)
{
  ++mClosedGeneration;
  mDrainedGeneration = -1;
  return mMoves.erase(aMove);
}

void
shard_manager::AdvanceMoves(instant aNow,
                            const cluster_view& aView,
                            const node_identity& aSelf,
                            action_list& aActions)
{
  const bool has_changed = aView.Generation() != mAdvancedGeneration;
  if (!has_changed && aNow < mNextWarmUpDeadline) {
    return;
  }
  mAdvancedGeneration = aView.Generation();
  mNextWarmUpDeadline = instant::max();
  for (auto it = mMoves.begin(); it != mMoves.end();) {
    auto& [shard, move] = *it;
    const shard_entry* entry = aView.FindEntry(shard);
    if (entry == nullptr || entry->mOwner != aSelf) {
      aActions.LogEvent("shard_moved", ToText(shard), ToText(move.mTarget));
      it = EraseMove(it);
      continue;
    }
    const bool is_warming = move.mPhase == move_phase::kWarming;
    if (is_warming && aNow >= move.mWarmUpDeadline) {
      ProbeStore(shard, move, aNow, aActions);
    } else if (is_warming) {
      mNextWarmUpDeadline = std::min(mNextWarmUpDeadline, move.mWarmUpDeadline);
    }
    ++it;
  }
}

void
shard_manager::UpdateMembership(instant aNow, const cluster_view& aView)
{
  if (mMembershipGeneration == aView.RecordsGeneration()) {
    return;
  }
  mMembershipGeneration = aView.RecordsGeneration();
  std::string membership;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool takes_work =
      record.mServer && record.AcceptsWork(record.mServer->mService);
    absl::StrAppend(&membership,
                    ToText(record.mIdentity),
                    takes_work,
                    record.mRetiredThrough,
                    ";");
  }
  if (membership != mMembershipFingerprint) {
    mMembershipFingerprint = std::move(membership);
    mMembershipSince = aNow;
    mProposers.clear();
    mFilledRevisions.clear();
    mUnfilledGeneration = -1;
  }
}

bool
shard_manager::IsFilled(const cluster_view& aView, const page_key& aKey) const
{
  const auto filled = mFilledRevisions.find(aKey);
  if (filled == mFilledRevisions.end()) {
    return false;
  }
  const auto stored = aView.FindPage(aKey.mService, aKey.mPage);
  return filled->second == (stored ? stored->mRevision : 0);
}

void
shard_manager::FindUnfilledPages(const cluster_view& aView)
{
  if (mUnfilledGeneration == aView.Generation()) {
    return;
  }
  mUnfilledGeneration = aView.Generation();
  mUnfilledPages.clear();
  const auto& services = aView.Configuration().mServices;
  for (std::size_t index = 0; index < services.size(); ++index) {
    page_key key{ services[index].mName, 0 };
    const int pages = PageCount(services[index].mShards);
    for (; key.mPage < pages; ++key.mPage) {
      if (!IsFilled(aView, key)) {
        mUnfilledPages.insert({ index, key.mPage });
      }
    }
  }
}

void
shard_manager::WritePages(instant aNow,
                          const cluster_view& aView,
                          const node_identity& aSelf,
                          action_list& aActions)
{
  const bool has_changed =
    aView.Generation() != mSeenGeneration && aNow >= mNextChangeCheck;
  if (has_changed) {
    mNextChangeCheck = aNow + kChangeBatchInterval;
    mSeenGeneration = aView.Generation();
    UpdateMembership(aNow, aView);
  }
  std::set<page_key> pages_with_moves;
  for (const auto& [shard, state] : mMoves) {
    if (state.mPhase == move_phase::kWriting) {
      pages_with_moves.insert(
        { shard.mService, shard.mIndex / kShardsPerPage });
    }
  }
  const bool has_work =
    has_changed || !pages_with_moves.empty() || !mNextWriteAt.empty();
  if (!has_work && aNow < mNextFullScan) {
    return;
  }
  mNextFullScan = aNow + kFullScanInterval;
  FindUnfilledPages(aView);
  const auto& services = aView.Configuration().mServices;
  auto due = mUnfilledPages;
  for (const page_key& key : pages_with_moves) {
    const auto service =
      std::find_if(services.begin(), services.end(), [&](const auto& aService) {
        return aService.mName == key.mService;
      });
    if (service != services.end() && key.mPage < PageCount(service->mShards)) {
      due.insert({ service - services.begin(), key.mPage });
    }
  }
  for (const auto& [index, page] : due) {
    const service_configuration& service = services[index];
    const page_key key{ service.mName, page };
    const bool has_move = pages_with_moves.contains(key);
    if (has_move || !IsFilled(aView, key)) {
      WritePage(aNow, aView, key, service.mShards, has_move, aSelf, aActions);
    }
  }
}

void
shard_manager::WritePage(instant aNow,
                         const cluster_view& aView,
                         const page_key& aKey,
                         int aShardCount,
                         bool aHasMove,
                         const node_identity& aSelf,
                         action_list& aActions)
{
  // One write per page at a time: the result of a later write says nothing
  // about an earlier one.
  const bool is_being_written =
    std::any_of(mWrites.begin(), mWrites.end(), [&](const auto& aWrite) {
      return aWrite.second == aKey;
    });
  const auto next_write = mNextWriteAt.find(aKey);
  const bool must_wait =
    next_write != mNextWriteAt.end() && aNow < next_write->second;
  if (is_being_written || must_wait) {
    return;
  }
  const std::string name = PageName(aKey.mService, aKey.mPage);
  const auto stored = aView.FindPage(aKey.mService, aKey.mPage);
  if (stored == nullptr && IsSettling(aNow)) {
    mNextWriteAt[aKey] = mMembershipSince + kMembershipSettleTime;
    return;
  }
  const bool is_unsaved = aView.IsUnsaved(kShardPageKind, name);
  // A page without a change to make isn't copied.
  const auto may_fill = [&] {
    return ProposerOf(aView, aKey) == aSelf.name &&
           (stored == nullptr || HasVacantShard(aView, *stored));
  };
  const bool may_change = mMayChangeOwners && (aHasMove || may_fill());
  if (stored != nullptr && !may_change && !is_unsaved) {
    FinishPage(aKey, stored->mRevision);
    return;
  }
  shard_page page =
    stored ? *stored : MakeEmptyPage(aKey.mService, aKey.mPage, aShardCount);
  const bool is_changed =
    may_change && ChangeOwners(aNow, aView, aKey, aSelf, page);
  if (is_unsaved && !is_changed) {
    const std::int64_t rank =
      RankAsWriter(aView, aKey.mService, name, aSelf.name);
    const instant turn = aView.EraObservedAt() +
                         std::min(rank, kMaxRewriteRank) * kRewriteRankDelay;
    if (aNow < turn) {
      mNextWriteAt[aKey] = turn;
      return;
    }
  }
  if (!is_changed && !is_unsaved) {
    FinishPage(aKey, page.mRevision);
    return;
  }
  const std::int64_t token = aActions.Write(
    { std::string(kShardPageKind), name, page.mRevision, Serialize(page) });
  mWrites[token] = aKey;
}

void
shard_manager::FinishPage(const page_key& aKey, std::int64_t aRevision)
{
  if (mMayChangeOwners) {
    mFilledRevisions[aKey] = aRevision;
  }
  mNextWriteAt.erase(aKey);
}

const std::string&
shard_manager::ProposerOf(const cluster_view& aView, const page_key& aKey)
{
  std::string& proposer = mProposers[aKey];
  if (proposer.empty()) {
    proposer =
      ChooseProposer(aView, aKey.mService, PageName(aKey.mService, aKey.mPage));
  }
  return proposer;
}

bool
shard_manager::ChangeOwners(instant aNow,
                            const cluster_view& aView,
                            const page_key& aKey,
                            const node_identity& aSelf,
                            shard_page& aPage)
{
  const bool has_moved = ApplyMoves(aView, aSelf, aPage);
  const bool is_filled = ProposerOf(aView, aKey) == aSelf.name &&
                         AssignVacantShards(aNow, aView, aPage);
  return has_moved || is_filled;
}

bool
shard_manager::IsSettling(instant aNow) const
{
  return aNow < mMembershipSince + kMembershipSettleTime;
}

bool
shard_manager::IsSuccessorExpected(instant aNow,
                                   const cluster_view& aView,
                                   const node_identity& aOwner) const
{
  const node_record* record = aView.FindNode(aOwner.name);
  return record != nullptr && record->IsActive() &&
         aNow <
           record->mObservedAt + std::max(kSuccessorTimeout, 2 * mTiming.mTtl);
}

bool
shard_manager::AssignVacantShards(instant aNow,
                                  const cluster_view& aView,
                                  shard_page& aPage) const
{
  bool changed = false;
  std::optional<shard_assigner> filler;
  const std::int64_t epoch = aPage.NextEpoch(FirstCountOf(aView.Era()));
  const bool is_first = aPage.mRevision == 0;
  for (std::size_t offset = 0; offset < aPage.mEntries.size(); ++offset) {
    shard_entry& entry = aPage.mEntries[offset];
    if (!IsVacant(aView, entry)) {
      continue;
    }
    if (!filler) {
      filler.emplace(aView, aPage.mService);
    }
    const shard_id shard{ aPage.mService,
                          aPage.FirstShard() + static_cast<int>(offset) };
    std::optional<node_identity> owner = filler->RestartedOwner(entry.mOwner);
    if (!owner && IsSuccessorExpected(aNow, aView, entry.mOwner)) {
      continue;
    }
    if (!owner) {
      owner = is_first ? filler->InitialOwner(shard) : filler->Assign(shard);
    }
    if (owner) {
      entry = { *owner, epoch, "" };
      changed = true;
    }
  }
  return changed;
}

bool
shard_manager::ApplyMoves(const cluster_view& aView,
                          const node_identity& aSelf,
                          shard_page& aPage) const
{
  bool changed = false;
  const std::int64_t epoch = aPage.NextEpoch(FirstCountOf(aView.Era()));
  for (const auto& [shard, move] : mMoves) {
    const bool is_ready = IsOnPage({ aPage.mService, aPage.mPage }, shard) &&
                          move.mPhase == move_phase::kWriting;
    if (!is_ready) {
      continue;
    }
    shard_entry& entry =
      aPage.mEntries[static_cast<std::size_t>(shard.mIndex % kShardsPerPage)];
    if (entry.mOwner != aSelf) {
      continue;
    }
    // If the target is gone, the proposer assigns another owner.
    entry = { aView.IsActiveIncarnation(move.mTarget) ? move.mTarget
                                                      : node_identity(),
              epoch,
              move.mHandover };
    changed = true;
  }
  return changed;
}

bool
shard_manager::OnWriteFinished(const write_finished& aEvent,
                               instant aNow,
                               cluster_view& aView,
                               action_list& aActions)
{
  const auto found = mWrites.find(aEvent.mToken);
  if (found == mWrites.end()) {
    return false;
  }
  const page_key key = found->second;
  mWrites.erase(found);
  if (aEvent.mResult.ok()) {
    aView.ApplyObject(*aEvent.mResult, aNow);
    mNextWriteAt.erase(key);
    return true;
  }
  if (const auto current = CurrentObject(aEvent.mResult.status())) {
    aView.ApplyObject(*current, aNow);
    mNextWriteAt.erase(key);
    return true;
  }
  if (!mTiming.mRules.mNeverResumeAfterLostWrite) {
    CancelMoves();
  }
  if (!absl::IsAborted(aEvent.mResult.status())) {
    OnWriteFailed(key, !absl::IsUnavailable(aEvent.mResult.status()));
  }
  mNextWriteAt[key] = aNow + kWriteRetryPause;
  mReads[aActions.Read(kShardPageKind, PageName(key.mService, key.mPage))] =
    key;
  return true;
}

bool
shard_manager::OnReadFinished(const read_finished& aEvent,
                              instant aNow,
                              cluster_view& aView,
                              action_list& aActions)
{
  const auto found = mReads.find(aEvent.mToken);
  if (found == mReads.end()) {
    return false;
  }
  const page_key key = found->second;
  mReads.erase(found);
  if (aEvent.mResult.ok()) {
    aView.ApplyObject(*aEvent.mResult, aNow);
  } else {
    mNextWriteAt[key] = aNow + kWriteRetryPause;
  }
  if (!aEvent.mResult.ok()) {
    mNextMoveAttempt = aNow + kUnreachableBackoff;
  }
  OnStoreProbed(key, aEvent.mResult.ok(), aActions);
  return true;
}

std::set<shard_id>
shard_manager::ClosedShards() const
{
  std::set<shard_id> closed;
  for (const auto& [shard, move] : mMoves) {
    if (move.mPhase != move_phase::kWarming &&
        move.mPhase != move_phase::kProbing) {
      closed.insert(shard);
    }
  }
  return closed;
}

int
shard_manager::OwnedShards(const cluster_view& aView,
                           const node_identity& aSelf) const
{
  int owned = 0;
  for (const auto& [name, page] : aView.Pages()) {
    owned += static_cast<int>(std::count_if(
      page->mEntries.begin(), page->mEntries.end(), [&](const auto& aEntry) {
        return aEntry.mOwner == aSelf;
      }));
  }
  return owned;
}

} // namespace plantaindale
