#include "plantaindale/node/shard_keeper.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/membership/witness_choice.h"
#include "plantaindale/placement/vacancy_filler.h"
#include "plantaindale/store/write_conflict.h"

namespace plantaindale {
namespace {

// Moves of a draining node at a time.
constexpr std::size_t kMovesAtATime = 512;
// Nodes that start together join, and hear of their servers, within this.
constexpr duration kSettleTime = std::chrono::milliseconds(1600);
// A restarted node's server tells of itself within about a heartbeat.
constexpr duration kSuccessorTime = std::chrono::milliseconds(1700);
// A successor that hasn't warmed up by then takes the shard cold.
constexpr duration kLongestWarmUp = std::chrono::seconds(2);
constexpr duration kWriteRetryPause = std::chrono::milliseconds(50);
// No moves are begun for so long after the platform hasn't answered.
constexpr duration kUnreachablePause = std::chrono::milliseconds(400);
// News of a change that was learnt within this shows that the platform answers:
// gossip takes some milliseconds.
constexpr duration kNewsLife = std::chrono::milliseconds(300);
// Changes that come close together are looked at together.
constexpr duration kNoticeEvery = std::chrono::milliseconds(20);
// How often pages are looked through when nothing has changed.
constexpr duration kSweepEvery = std::chrono::seconds(1);

// Which node proposes owners for the page's vacant shards: any may, but one
// saves conflicts.
std::string
ChooseProposer(const cluster_view& aView,
               std::string_view aService,
               std::string_view aPageName)
{
  std::string proposer;
  std::uint64_t best = 0;
  for (const auto& [name, record] : aView.Nodes()) {
    const std::uint64_t score = RendezvousScore(aPageName, name);
    if (record.TakesWork(aService) && (proposer.empty() || score < best)) {
      proposer = name;
      best = score;
    }
  }
  return proposer;
}

} // namespace

shard_keeper::shard_keeper(std::string aControlAddress, lease_timing aTiming)
  : mControlAddress(std::move(aControlAddress))
  , mTiming(aTiming)
{
}

void
shard_keeper::Step(instant aNow,
                   const cluster_view& aView,
                   const node_identity& aSelf,
                   bool aGivesAway,
                   action_list& aActions)
{
  if (aView.Revision() > mSeenRevision) {
    mSeenRevision = aView.Revision();
    mRevisionSeenAt = aNow;
  }
  if (aGivesAway) {
    Drain(aNow, aView, aSelf, aActions);
  }
  AdvanceMoves(aNow, aView, aSelf, aActions);
  WritePages(aNow, aView, aSelf, aActions);
}

void
shard_keeper::Drain(instant aNow,
                    const cluster_view& aView,
                    const node_identity& aSelf,
                    action_list& aActions)
{
  if (mMoves.size() >= kMovesAtATime || aNow < mNextMoves) {
    return;
  }
  for (const service_configuration& service : aView.Configuration().mServices) {
    if (!service.mKey) {
      continue;
    }
    vacancy_filler filler(aView, service.mName, aSelf.name);
    for (int index = 0; index < service.mShards; ++index) {
      const shard_id shard{ service.mName, index };
      const shard_entry* entry = aView.FindEntry(shard);
      const bool is_own = entry != nullptr && entry->mOwner == aSelf;
      if (!is_own || mMoves.contains(shard)) {
        continue;
      }
      const node_identity target = filler.Take(shard).value_or(node_identity());
      StartMove(shard, target, aNow, aView, aSelf, aActions);
      if (mMoves.size() >= kMovesAtATime) {
        return;
      }
    }
  }
}

void
shard_keeper::StartMove(const shard_id& aShard,
                        const node_identity& aTarget,
                        instant aNow,
                        const cluster_view& aView,
                        const node_identity& aSelf,
                        action_list& aActions)
{
  const shard_entry* entry = aView.FindEntry(aShard);
  const bool may_move = entry != nullptr && entry->mOwner == aSelf &&
                        aTarget != aSelf && !mMoves.contains(aShard) &&
                        aNow >= mNextMoves;
  if (!may_move) {
    return;
  }
  move& started = mMoves[aShard];
  started.mTarget = aTarget;
  started.mGiveUpWarming = aNow + kLongestWarmUp;
  const node_record* target = aView.FindNode(aTarget);
  const bool warms_up =
    target != nullptr && target->mServer && !target->mServer->mKeepsGrants;
  if (!warms_up) {
    Probe(aShard, started, aNow, aActions);
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
shard_keeper::OnWarmed(const protocol::warm_reply& aReply,
                       instant aNow,
                       action_list& aActions)
{
  const shard_id shard{ aReply.service_name, aReply.shard };
  const auto found = mMoves.find(shard);
  const bool is_awaited = found != mMoves.end() &&
                          found->second.mPhase == move_phase::kWarming &&
                          found->second.mTarget == aReply.target;
  if (is_awaited) {
    Probe(shard, found->second, aNow, aActions);
  }
}

void
shard_keeper::Probe(const shard_id& aShard,
                    move& aMove,
                    instant aNow,
                    action_list& aActions)
{
  if (aNow < mRevisionSeenAt + kNewsLife) {
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
    return; // one answer serves all moves on the page
  }
  mReads[aActions.Read(kShardPageKind, PageName(key.mService, key.mPage))] =
    key;
}

bool
shard_keeper::IsOn(const page_key& aKey, const shard_id& aShard) const
{
  return aShard.mService == aKey.mService &&
         aShard.mIndex / kShardsPerPage == aKey.mPage;
}

void
shard_keeper::OnProbed(const page_key& aKey,
                       bool aAnswers,
                       action_list& aActions)
{
  for (auto place = mMoves.begin(); place != mMoves.end();) {
    auto& [shard, moving] = *place;
    const bool is_probed =
      IsOn(aKey, shard) && moving.mPhase == move_phase::kProbing;
    if (is_probed && !aAnswers) {
      // Nothing was closed: the shard stays, and is served on.
      place = mMoves.erase(place);
      continue;
    }
    if (is_probed) {
      Close(shard, moving, aActions);
    }
    ++place;
  }
}

// A write that never left this node leaves the shard with it; one that may
// have taken effect doesn't.
void
shard_keeper::OnWriteFailed(const page_key& aKey, bool aIsInDoubt)
{
  for (auto place = mMoves.begin(); place != mMoves.end();) {
    auto& [shard, moving] = *place;
    const bool is_written =
      IsOn(aKey, shard) && moving.mPhase == move_phase::kWriting;
    if (is_written && !aIsInDoubt && !moving.mIsInDoubt) {
      place = mMoves.erase(place);
      continue;
    }
    moving.mIsInDoubt = moving.mIsInDoubt || (is_written && aIsInDoubt);
    ++place;
  }
}

void
shard_keeper::Close(const shard_id& aShard, move& aMove, action_list& aActions)
{
  aMove.mPhase = move_phase::kClosing;
  aActions.Add(close_shard{ aShard });
}

void
shard_keeper::OnQuiet(const shard_id& aShard, const std::string& aHandover)
{
  const auto found = mMoves.find(aShard);
  if (found != mMoves.end() && found->second.mPhase == move_phase::kClosing) {
    found->second.mPhase = move_phase::kWriting;
    found->second.mHandover = aHandover;
  }
}

void
shard_keeper::AdvanceMoves(instant aNow,
                           const cluster_view& aView,
                           const node_identity& aSelf,
                           action_list& aActions)
{
  for (auto place = mMoves.begin(); place != mMoves.end();) {
    auto& [shard, moving] = *place;
    const shard_entry* entry = aView.FindEntry(shard);
    if (entry == nullptr || entry->mOwner != aSelf) {
      aActions.Note("shard_moved", ToText(shard), ToText(moving.mTarget));
      place = mMoves.erase(place);
      continue;
    }
    const bool is_late =
      moving.mPhase == move_phase::kWarming && aNow >= moving.mGiveUpWarming;
    if (is_late) {
      Probe(shard, moving, aNow, aActions);
    }
    ++place;
  }
}

void
shard_keeper::NoticeMembership(instant aNow, const cluster_view& aView)
{
  std::string membership;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool takes_work =
      record.mServer && record.TakesWork(record.mServer->mService);
    absl::StrAppend(&membership,
                    ToText(record.mIdentity),
                    takes_work,
                    record.mRetiredThrough,
                    ";");
  }
  if (membership != mMembership) {
    mMembership = std::move(membership);
    mMembershipSince = aNow;
    mProposers.clear();
    mFilled.clear();
  }
}

void
shard_keeper::WritePages(instant aNow,
                         const cluster_view& aView,
                         const node_identity& aSelf,
                         action_list& aActions)
{
  const bool is_new =
    aView.Generation() != mSeenGeneration && aNow >= mNextNotice;
  if (is_new) {
    mNextNotice = aNow + kNoticeEvery;
    mSeenGeneration = aView.Generation();
    NoticeMembership(aNow, aView);
  }
  std::set<page_key> moving;
  for (const auto& [shard, state] : mMoves) {
    if (state.mPhase == move_phase::kWriting) {
      moving.insert({ shard.mService, shard.mIndex / kShardsPerPage });
    }
  }
  const bool has_work = is_new || !moving.empty() || !mQuietUntil.empty();
  if (!has_work && aNow < mNextSweep) {
    return;
  }
  mNextSweep = aNow + kSweepEvery;
  for (const service_configuration& service : aView.Configuration().mServices) {
    for (int page = 0; page < PageCount(service.mShards); ++page) {
      const page_key key{ service.mName, page };
      const auto stored = aView.FindPage(service.mName, page);
      const std::int64_t revision = stored ? stored->mRevision : 0;
      const auto filled = mFilled.find(key);
      const bool is_filled =
        filled != mFilled.end() && filled->second == revision;
      if (!is_filled || moving.contains(key)) {
        WritePage(aNow, aView, key, service.mShards, aSelf, aActions);
      }
    }
  }
}

void
shard_keeper::WritePage(instant aNow,
                        const cluster_view& aView,
                        const page_key& aKey,
                        int aShardCount,
                        const node_identity& aSelf,
                        action_list& aActions)
{
  // One write of a page at a time: of two, the end of the later says nothing
  // of the earlier.
  const bool is_being_written =
    std::any_of(mWrites.begin(), mWrites.end(), [&](const auto& aWrite) {
      return aWrite.second == aKey;
    });
  const auto quiet = mQuietUntil.find(aKey);
  const bool is_quiet = quiet != mQuietUntil.end() && aNow < quiet->second;
  if (is_being_written || is_quiet) {
    return;
  }
  const std::string name = PageName(aKey.mService, aKey.mPage);
  const auto stored = aView.FindPage(aKey.mService, aKey.mPage);
  if (stored == nullptr && IsSettling(aNow)) {
    mQuietUntil[aKey] = mMembershipSince + kSettleTime;
    return;
  }
  shard_page page =
    stored ? *stored : MakeEmptyPage(aKey.mService, aKey.mPage, aShardCount);
  bool changed = ApplyMoves(aView, aSelf, page);
  std::string& proposer = mProposers[aKey];
  if (proposer.empty()) {
    proposer = ChooseProposer(aView, aKey.mService, name);
  }
  if (proposer == aSelf.name) {
    const bool filled = FillVacancies(aNow, aView, page);
    changed = changed || filled;
  }
  if (!changed) {
    mFilled[aKey] = page.mRevision;
    mQuietUntil.erase(aKey);
    return;
  }
  const std::int64_t token = aActions.Write(
    { std::string(kShardPageKind), name, page.mRevision, Serialize(page) });
  mWrites[token] = aKey;
}

bool
shard_keeper::IsSettling(instant aNow) const
{
  return aNow < mMembershipSince + kSettleTime;
}

bool
shard_keeper::IsAwaited(instant aNow,
                        const cluster_view& aView,
                        const node_identity& aOwner) const
{
  const node_record* record = aView.FindNode(aOwner.name);
  return record != nullptr && record->IsActive() &&
         aNow < record->mLearntAt + std::max(kSuccessorTime, 2 * mTiming.mTtl);
}

bool
shard_keeper::FillVacancies(instant aNow,
                            const cluster_view& aView,
                            shard_page& aPage) const
{
  bool changed = false;
  std::optional<vacancy_filler> filler;
  const std::int64_t epoch = aPage.NextEpoch();
  const bool is_first = aPage.mRevision == 0;
  for (std::size_t place = 0; place < aPage.mEntries.size(); ++place) {
    shard_entry& entry = aPage.mEntries[place];
    if (entry.HasOwner() && !aView.IsRetired(entry.mOwner)) {
      continue;
    }
    if (!filler) {
      filler.emplace(aView, aPage.mService);
    }
    const shard_id shard{ aPage.mService,
                          aPage.FirstShard() + static_cast<int>(place) };
    std::optional<node_identity> owner = filler->Successor(entry.mOwner);
    if (!owner && IsAwaited(aNow, aView, entry.mOwner)) {
      continue;
    }
    if (!owner) {
      owner = is_first ? filler->FirstOwner(shard) : filler->Take(shard);
    }
    if (owner) {
      entry = { *owner, epoch, "" };
      changed = true;
    }
  }
  return changed;
}

bool
shard_keeper::ApplyMoves(const cluster_view& aView,
                         const node_identity& aSelf,
                         shard_page& aPage) const
{
  bool changed = false;
  const std::int64_t epoch = aPage.NextEpoch();
  for (const auto& [shard, moving] : mMoves) {
    const bool is_here = IsOn({ aPage.mService, aPage.mPage }, shard) &&
                         moving.mPhase == move_phase::kWriting;
    if (!is_here) {
      continue;
    }
    shard_entry& entry =
      aPage.mEntries[static_cast<std::size_t>(shard.mIndex % kShardsPerPage)];
    if (entry.mOwner != aSelf) {
      continue;
    }
    // A successor that has gone meanwhile leaves the shard to the proposer.
    entry = { aView.MayAct(moving.mTarget) ? moving.mTarget : node_identity(),
              epoch,
              moving.mHandover };
    changed = true;
  }
  return changed;
}

bool
shard_keeper::OnWriteFinished(const write_finished& aEvent,
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
    mQuietUntil.erase(key);
    return true;
  }
  if (const auto current = CurrentObject(aEvent.mResult.status())) {
    aView.ApplyObject(*current, aNow);
    mQuietUntil.erase(key);
    return true;
  }
  if (!mTiming.mRules.mNeverResumeAfterLostWrite) {
    mMoves.clear();
  }
  if (!absl::IsAborted(aEvent.mResult.status())) {
    OnWriteFailed(key, !absl::IsUnavailable(aEvent.mResult.status()));
  }
  mQuietUntil[key] = aNow + kWriteRetryPause;
  mReads[aActions.Read(kShardPageKind, PageName(key.mService, key.mPage))] =
    key;
  return true;
}

bool
shard_keeper::OnReadFinished(const read_finished& aEvent,
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
    mQuietUntil[key] = aNow + kWriteRetryPause;
  }
  if (!aEvent.mResult.ok()) {
    mNextMoves = aNow + kUnreachablePause;
  }
  OnProbed(key, aEvent.mResult.ok(), aActions);
  return true;
}

std::set<shard_id>
shard_keeper::ClosedShards() const
{
  std::set<shard_id> closed;
  for (const auto& [shard, moving] : mMoves) {
    if (moving.mPhase != move_phase::kWarming &&
        moving.mPhase != move_phase::kProbing) {
      closed.insert(shard);
    }
  }
  return closed;
}

int
shard_keeper::OwnedShards(const cluster_view& aView,
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
