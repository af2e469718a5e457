#include "plantaindale/node/fencing_coordinator.h"

#include <algorithm>

#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {
namespace {

constexpr duration kFencingRequestInterval = std::chrono::milliseconds(50);
// View changes within this interval are processed together.
constexpr duration kChangeBatchInterval = std::chrono::milliseconds(20);
constexpr duration kScanInterval = std::chrono::seconds(2);
// Extra delay per rank, so that the node ranked before can act first.
constexpr duration kRankDelay = std::chrono::milliseconds(150);
constexpr std::int64_t kMaxDelayedRank = 8;
// A longer interval between two steps means that the process was paused.
constexpr duration kMaxStepInterval = std::chrono::milliseconds(400);
constexpr duration kWriteRetryPause = std::chrono::milliseconds(150);
// A live node replaces failed witnesses well within this time.
constexpr duration kOrphanTimeout = std::chrono::seconds(3);

std::int64_t
RankAsWitness(const node_record& aRecord, const node_identity& aSelf)
{
  const auto found =
    std::find(aRecord.mWitnesses.begin(), aRecord.mWitnesses.end(), aSelf);
  return found == aRecord.mWitnesses.end() ? -1
                                           : found - aRecord.mWitnesses.begin();
}

// Number of active nodes ranked before this one for the subject.
std::int64_t
RankAmongActive(const cluster_view& aView,
                std::string_view aSubject,
                std::string_view aSelf)
{
  const std::uint64_t local_score = RendezvousScore(aSubject, aSelf);
  std::int64_t rank = 0;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool before = record.IsActive() && name != aSubject &&
                        RendezvousScore(aSubject, name) < local_score;
    rank += before ? 1 : 0;
  }
  return rank;
}

} // namespace

fencing_coordinator::fencing_coordinator(std::string aName,
                                         std::string aProcess,
                                         node_addresses aAddresses,
                                         lease_timing aTiming)
  : mName(std::move(aName))
  , mProcess(std::move(aProcess))
  , mAddresses(std::move(aAddresses))
  , mTiming(aTiming)
{
}

void
fencing_coordinator::Step(instant aNow,
                          const cluster_view& aView,
                          witness_ledger& aLedger,
                          const std::optional<node_identity>& aSelf,
                          bool aHoldsLease,
                          action_list& aActions)
{
  UpdateAwakeTime(aNow, aHoldsLease);
  Rescan(aNow, aView, aSelf);
  for (const std::string& name : mWatchedNodes) {
    const node_record* record = aView.FindNode(name);
    if (record->mState == node_state::kFenced) {
      AdvanceRetirement(aNow, aView, *record, aLedger, aSelf, aActions);
    } else if (record->IsActive() &&
               IsSuspect(aNow, aView, *record, aLedger, aSelf)) {
      Fence(aNow, *record, aActions);
    }
  }
}

void
fencing_coordinator::RewriteLost(instant aNow,
                                 const cluster_view& aView,
                                 action_list& aActions)
{
  if (!aView.HasUnsaved()) {
    return;
  }
  for (const auto& [name, record] : aView.Nodes()) {
    const bool is_lost =
      !record.IsActive() && name != mName && aView.IsUnsaved(kNodeKind, name);
    if (!is_lost || aNow < mNextWriteAt[name]) {
      continue;
    }
    const std::int64_t rank = RankAmongActive(aView, name, mName);
    if (aNow >=
        aView.EraObservedAt() + std::min(rank, kMaxDelayedRank) * kRankDelay) {
      aActions.LogEvent("rewriting",
                        ToText(record.mIdentity),
                        std::string(ToText(record.mState)));
      Write(aNow, record, aActions);
    }
  }
}

void
fencing_coordinator::UpdateAwakeTime(instant aNow, bool aHoldsLease)
{
  const bool was_paused = aNow >= mLastStep + kMaxStepInterval;
  mLastStep = aNow;
  if (!aHoldsLease) {
    mAwakeSince = instant::max();
  } else if (was_paused || mAwakeSince == instant::max()) {
    mAwakeSince = aNow;
  }
}

void
fencing_coordinator::Rescan(instant aNow,
                            const cluster_view& aView,
                            const std::optional<node_identity>& aSelf)
{
  const bool has_changed =
    aView.Generation() != mScannedGeneration && aNow >= mNextChangeCheck;
  if (aNow < mNextScan && !has_changed) {
    return;
  }
  mNextChangeCheck = aNow + kChangeBatchInterval;
  mNextScan = aNow + kScanInterval;
  mScannedGeneration = aView.Generation();
  UpdateCandidates(aView, aSelf);
  mWatchedNodes.clear();
  for (const watch_candidate& candidate : mCandidates) {
    if (aNow >= candidate.mWatchedFrom) {
      mWatchedNodes.push_back(candidate.mNodeName);
    }
  }
}

void
fencing_coordinator::UpdateCandidates(const cluster_view& aView,
                                      const std::optional<node_identity>& aSelf)
{
  if (mCandidatesGeneration == aView.RecordsGeneration() &&
      mCandidatesSelf == aSelf) {
    return;
  }
  mCandidatesGeneration = aView.RecordsGeneration();
  mCandidatesSelf = aSelf;
  mCandidates.clear();
  for (const auto& [name, record] : aView.Nodes()) {
    const bool is_fenced = record.mState == node_state::kFenced;
    if (!is_fenced) {
      mRetirements.erase(name);
      mFencedLocally.erase(name);
    }
    if (!is_fenced && !record.IsActive()) {
      continue;
    }
    const bool is_responsible = record.mWitnesses.empty() || name == mName ||
                                (aSelf && RankAsWitness(record, *aSelf) >= 0);
    const instant watched_from =
      is_fenced || is_responsible ? kNever : OrphanedAt(aView, record);
    if (watched_from != instant::max()) {
      mCandidates.push_back({ name, watched_from });
    }
  }
}

bool
fencing_coordinator::IsSuspect(instant aNow,
                               const cluster_view& aView,
                               const node_record& aRecord,
                               const witness_ledger& aLedger,
                               const std::optional<node_identity>& aSelf) const
{
  if (aRecord.mIdentity.name == mName) {
    // Another process of this name, or a join whose result was lost. A record
    // with the local addresses belongs to a process that has exited; joining
    // replaces it without fencing.
    return !aSelf.has_value() && aRecord.mAddresses != mAddresses;
  }
  const bool is_awake =
    mAwakeSince != instant::max() &&
    aNow >= mAwakeSince + mTiming.mTtl + mTiming.mSelfRecoveryWindow;
  if (!aSelf.has_value() || !is_awake) {
    return false;
  }
  const instant observed_at = aRecord.mObservedAt;
  const std::int64_t rank = RankAsWitness(aRecord, *aSelf);
  if (rank >= 0) {
    instant expiry = observed_at + mTiming.mTtl;
    const auto found = aLedger.Holders().find(aRecord.mIdentity.name);
    if (found != aLedger.Holders().end()) {
      expiry = std::max(expiry, found->second.mVouchEnd);
    }
    return aNow >= expiry + mTiming.mSelfRecoveryWindow + rank * kRankDelay;
  }
  const bool renews_in_platform = aRecord.mWitnesses.empty();
  if (renews_in_platform) {
    const instant expiry =
      observed_at + mTiming.mTtl + mTiming.mSelfRecoveryWindow;
    return aNow >= expiry && aNow >= expiry + RankDelay(aView, aRecord, aSelf);
  }
  return aNow >= OrphanedAt(aView, aRecord) &&
         aNow >=
           observed_at + kOrphanTimeout + RankDelay(aView, aRecord, aSelf);
}

instant
fencing_coordinator::OrphanedAt(const cluster_view& aView,
                                const node_record& aRecord)
{
  instant last_loss = kNever;
  std::size_t lost = 0;
  for (const node_identity& witness : aRecord.mWitnesses) {
    if (!aView.IsActiveIncarnation(witness)) {
      ++lost;
      last_loss = std::max(last_loss, aView.ObservedAt(witness.name));
    }
  }
  const bool is_majority_lost = 2 * lost > aRecord.mWitnesses.size();
  return is_majority_lost ? last_loss + kOrphanTimeout : instant::max();
}

duration
fencing_coordinator::RankDelay(const cluster_view& aView,
                               const node_record& aRecord,
                               const std::optional<node_identity>& aSelf) const
{
  const std::int64_t rank =
    RankAmongActive(aView, aRecord.mIdentity.name, aSelf->name);
  return std::min(rank, kMaxDelayedRank) * kRankDelay;
}

void
fencing_coordinator::Fence(instant aNow,
                           const node_record& aRecord,
                           action_list& aActions)
{
  if (aNow < mNextWriteAt[aRecord.mIdentity.name]) {
    return;
  }
  node_record fenced = aRecord;
  fenced.mState = node_state::kFenced;
  if (aRecord.mIdentity.name == mName) {
    fenced.mSuccessor = mProcess;
  }
  aActions.LogEvent("fencing", ToText(aRecord.mIdentity));
  Write(aNow, fenced, aActions);
}

void
fencing_coordinator::AdvanceRetirement(
  instant aNow,
  const cluster_view& aView,
  const node_record& aRecord,
  witness_ledger& aLedger,
  const std::optional<node_identity>& aSelf,
  action_list& aActions)
{
  const std::string& name = aRecord.mIdentity.name;
  const bool is_local = name == mName;
  const std::int64_t rank = aSelf ? RankAsWitness(aRecord, *aSelf) : -1;
  const instant observed_at = aRecord.mObservedAt;
  const bool is_overdue =
    aSelf.has_value() && aNow >= observed_at + kOrphanTimeout;
  if (!is_local && rank < 0 && !mRetirements.contains(name) && !is_overdue &&
      !aRecord.mWitnesses.empty()) {
    return;
  }
  const auto found =
    mRetirements
      .try_emplace(
        name, aRecord.mIdentity, aRecord.mWitnesses, observed_at, mTiming)
      .first;
  retirement_proof& proof = found->second;
  if (proof.FencedNode() != aRecord.mIdentity) {
    proof = retirement_proof(
      aRecord.mIdentity, aRecord.mWitnesses, observed_at, mTiming);
  }
  RequestFencing(aNow, aView, proof, aLedger, aSelf, aActions);
  const duration delay = std::max<std::int64_t>(rank, 0) * kRankDelay;
  // The node that fenced it writes at once; the others only if that one fails.
  const bool writes_first = is_local || mFencedLocally.contains(name);
  const bool may_write =
    writes_first || aNow >= observed_at + mTiming.mTtl + delay;
  if (proof.IsComplete(aNow) && may_write && aNow >= mNextWriteAt[name]) {
    node_record retired = aRecord;
    retired.mState = node_state::kRetired;
    retired.mRetiredThrough = aRecord.mIdentity.incarnation;
    aActions.LogEvent("retiring", ToText(aRecord.mIdentity));
    Write(aNow, retired, aActions);
  }
}

void
fencing_coordinator::RequestFencing(instant aNow,
                                    const cluster_view& aView,
                                    retirement_proof& aRetirement,
                                    witness_ledger& aLedger,
                                    const std::optional<node_identity>& aSelf,
                                    action_list& aActions)
{
  const bool may_send = aNow >= mNextFencingRequest;
  for (const node_identity& witness : aRetirement.UnacknowledgedWitnesses()) {
    if (aSelf == witness) {
      if (aLedger.RaiseFencingFloor(aRetirement.FencedNode(), witness, aNow)) {
        aRetirement.OnFencingFloorAcknowledged(witness);
      }
      continue;
    }
    const node_record* record = aView.FindNode(witness.name);
    if (record == nullptr) {
      continue;
    }
    if (aView.IsRetired(witness)) {
      const bool is_gone =
        record->mConfirmedLostThrough >= witness.incarnation ||
        record->mState == node_state::kLeft;
      aRetirement.OnWitnessRetired(
        witness, aView.ObservedAt(witness.name), is_gone);
    }
    if (may_send) {
      protocol::floor_request request;
      request.holder = aRetirement.FencedNode();
      request.witness = witness;
      request.taker_address = mAddresses.mControl;
      control_message message;
      message.__set_raise_floor(request);
      aActions.Send(record->mAddresses.mControl, message);
      mNextFencingRequest = aNow + kFencingRequestInterval;
    }
  }
}

void
fencing_coordinator::Write(instant aNow,
                           const node_record& aRecord,
                           action_list& aActions)
{
  const std::string& name = aRecord.mIdentity.name;
  // One attempt at a time; without a result within 2 s it is considered lost.
  mNextWriteAt[name] = aNow + std::chrono::seconds(2);
  const std::int64_t token = aActions.Write(
    { std::string(kNodeKind), name, aRecord.mRevision, Serialize(aRecord) });
  mWrites[token] = { name, aRecord.mObservedAt };
}

void
fencing_coordinator::OnFencingReply(const protocol::floor_reply& aReply)
{
  const auto found = mRetirements.find(aReply.holder.name);
  const bool counts = found != mRetirements.end() && aReply.acknowledged &&
                      found->second.FencedNode() == aReply.holder;
  if (counts) {
    found->second.OnFencingFloorAcknowledged(aReply.witness);
  }
}

bool
fencing_coordinator::OnWriteFinished(const write_finished& aEvent,
                                     instant aNow,
                                     cluster_view& aView,
                                     action_list& aActions)
{
  const auto found = mWrites.find(aEvent.mToken);
  if (found == mWrites.end()) {
    return false;
  }
  const auto [name, unchanged_since] = found->second;
  mWrites.erase(found);
  if (!aEvent.mResult.ok()) {
    mNextWriteAt[name] = aNow + kWriteRetryPause;
    mReads[aActions.Read(kNodeKind, name)] = name;
    return true;
  }
  mNextWriteAt.erase(name);
  aView.ApplyObject(*aEvent.mResult, aNow);
  const node_record* record = aView.FindNode(name);
  if (record != nullptr && record->mState == node_state::kFenced) {
    mFencedLocally.insert(name);
    mRetirements.insert_or_assign(
      name,
      retirement_proof(
        record->mIdentity, record->mWitnesses, unchanged_since, mTiming));
  }
  return true;
}

bool
fencing_coordinator::OnReadFinished(const read_finished& aEvent,
                                    instant aNow,
                                    cluster_view& aView)
{
  const auto found = mReads.find(aEvent.mToken);
  if (found == mReads.end()) {
    return false;
  }
  mReads.erase(found);
  if (aEvent.mResult.ok()) {
    aView.ApplyObject(*aEvent.mResult, aNow);
  }
  return true;
}

} // namespace plantaindale
