#include "plantaindale/node/taker.h"

#include <algorithm>

#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {
namespace {

constexpr duration kAskEvery = std::chrono::milliseconds(50);
// Changes that come close together are looked at together.
constexpr duration kNoticeEvery = std::chrono::milliseconds(20);
constexpr duration kScanEvery = std::chrono::seconds(2);
// Each rank waits this much longer, so that the one before it can act.
constexpr duration kRankDelay = std::chrono::milliseconds(150);
constexpr std::int64_t kMostRanks = 8;
// A longer time between two steps means that this process was paused.
constexpr duration kLongestStep = std::chrono::milliseconds(400);
constexpr duration kWriteRetryPause = std::chrono::milliseconds(150);
// A record that lives replaces dead witnesses well within this.
constexpr duration kOrphanAfter = std::chrono::seconds(3);

std::int64_t
RankAsWitness(const node_record& aRecord, const node_identity& aSelf)
{
  const auto found =
    std::find(aRecord.mWitnesses.begin(), aRecord.mWitnesses.end(), aSelf);
  return found == aRecord.mWitnesses.end() ? -1
                                           : found - aRecord.mWitnesses.begin();
}

// How many active nodes come before this one for the subject.
std::int64_t
RankAmongActive(const cluster_view& aView,
                std::string_view aSubject,
                std::string_view aSelf)
{
  const std::uint64_t own = RendezvousScore(aSubject, aSelf);
  std::int64_t rank = 0;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool before = record.IsActive() && name != aSubject &&
                        RendezvousScore(aSubject, name) < own;
    rank += before ? 1 : 0;
  }
  return rank;
}

} // namespace

taker::taker(std::string aName,
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
taker::Step(instant aNow,
            const cluster_view& aView,
            witness_ledger& aLedger,
            const std::optional<node_identity>& aSelf,
            bool aHoldsLease,
            action_list& aActions)
{
  NoticeWaking(aNow, aHoldsLease);
  Rescan(aNow, aView, aSelf);
  for (const std::string& name : mWatched) {
    const node_record* record = aView.FindNode(name);
    if (record->mState == node_state::kFenced) {
      Prove(aNow, aView, *record, aLedger, aSelf, aActions);
    } else if (record->IsActive() &&
               IsSuspect(aNow, aView, *record, aLedger, aSelf)) {
      Fence(aNow, *record, aActions);
    }
  }
}

void
taker::NoticeWaking(instant aNow, bool aHoldsLease)
{
  const bool was_paused = aNow >= mLastStep + kLongestStep;
  mLastStep = aNow;
  if (!aHoldsLease) {
    mAwakeSince = instant::max();
  } else if (was_paused || mAwakeSince == instant::max()) {
    mAwakeSince = aNow;
  }
}

void
taker::Rescan(instant aNow,
              const cluster_view& aView,
              const std::optional<node_identity>& aSelf)
{
  const bool is_new =
    aView.Generation() != mScannedGeneration && aNow >= mNextNotice;
  if (aNow < mNextScan && !is_new) {
    return;
  }
  mNextNotice = aNow + kNoticeEvery;
  mNextScan = aNow + kScanEvery;
  mScannedGeneration = aView.Generation();
  mWatched.clear();
  for (const auto& [name, record] : aView.Nodes()) {
    const bool is_fenced = record.mState == node_state::kFenced;
    if (!is_fenced) {
      mProofs.erase(name);
      mFencedHere.erase(name);
    }
    const bool is_close = record.mWitnesses.empty() || name == mName ||
                          (aSelf && RankAsWitness(record, *aSelf) >= 0);
    const bool is_watched =
      is_fenced ||
      (record.IsActive() && (is_close || IsOrphan(aNow, aView, record)));
    if (is_watched) {
      mWatched.push_back(name);
    }
  }
}

bool
taker::IsSuspect(instant aNow,
                 const cluster_view& aView,
                 const node_record& aRecord,
                 const witness_ledger& aLedger,
                 const std::optional<node_identity>& aSelf) const
{
  if (aRecord.mIdentity.name == mName) {
    // A former process under this name, or a join whose end was never known.
    // One that listened here has ended: the new process joins over it.
    return !aSelf.has_value() && aRecord.mAddresses != mAddresses;
  }
  const bool is_awake =
    mAwakeSince != instant::max() &&
    aNow >= mAwakeSince + mTiming.mTtl + mTiming.mSelfRecoveryWindow;
  if (!aSelf.has_value() || !is_awake) {
    return false;
  }
  const instant learnt = aView.ObservedAt(aRecord.mIdentity.name);
  const std::int64_t rank = RankAsWitness(aRecord, *aSelf);
  if (rank >= 0) {
    instant lapse = learnt + mTiming.mTtl;
    const auto found = aLedger.Holders().find(aRecord.mIdentity.name);
    if (found != aLedger.Holders().end()) {
      lapse = std::max(lapse, found->second.mVouchEnd);
    }
    return aNow >= lapse + mTiming.mSelfRecoveryWindow + rank * kRankDelay;
  }
  const bool renews_in_platform = aRecord.mWitnesses.empty();
  if (renews_in_platform) {
    const instant lapse = learnt + mTiming.mTtl + mTiming.mSelfRecoveryWindow;
    return aNow >= lapse && aNow >= lapse + RankDelay(aView, aRecord, aSelf);
  }
  return IsOrphan(aNow, aView, aRecord) &&
         aNow >= learnt + kOrphanAfter + RankDelay(aView, aRecord, aSelf);
}

bool
taker::IsOrphan(instant aNow,
                const cluster_view& aView,
                const node_record& aRecord) const
{
  instant last_loss = kNever;
  std::size_t lost = 0;
  for (const node_identity& witness : aRecord.mWitnesses) {
    if (!aView.IsActiveIncarnation(witness)) {
      ++lost;
      last_loss = std::max(last_loss, aView.ObservedAt(witness.name));
    }
  }
  const bool most_lost = 2 * lost > aRecord.mWitnesses.size();
  return most_lost && aNow >= last_loss + kOrphanAfter;
}

duration
taker::RankDelay(const cluster_view& aView,
                 const node_record& aRecord,
                 const std::optional<node_identity>& aSelf) const
{
  const std::int64_t rank =
    RankAmongActive(aView, aRecord.mIdentity.name, aSelf->name);
  return std::min(rank, kMostRanks) * kRankDelay;
}

void
taker::Fence(instant aNow, const node_record& aRecord, action_list& aActions)
{
  if (aNow < mQuietUntil[aRecord.mIdentity.name]) {
    return;
  }
  node_record fenced = aRecord;
  fenced.mState = node_state::kFenced;
  if (aRecord.mIdentity.name == mName) {
    fenced.mSuccessor = mProcess;
  }
  aActions.Note("fencing", ToText(aRecord.mIdentity));
  Write(aNow, fenced, aActions);
}

void
taker::Prove(instant aNow,
             const cluster_view& aView,
             const node_record& aRecord,
             witness_ledger& aLedger,
             const std::optional<node_identity>& aSelf,
             action_list& aActions)
{
  const std::string& name = aRecord.mIdentity.name;
  const bool is_own = name == mName;
  const std::int64_t rank = aSelf ? RankAsWitness(aRecord, *aSelf) : -1;
  const instant learnt = aView.ObservedAt(name);
  const bool is_late = aSelf.has_value() && aNow >= learnt + kOrphanAfter;
  if (!is_own && rank < 0 && !mProofs.contains(name) && !is_late &&
      !aRecord.mWitnesses.empty()) {
    return;
  }
  const auto found =
    mProofs
      .try_emplace(name, aRecord.mIdentity, aRecord.mWitnesses, learnt, mTiming)
      .first;
  retirement_proof& proof = found->second;
  if (proof.FencedNode() != aRecord.mIdentity) {
    proof =
      retirement_proof(aRecord.mIdentity, aRecord.mWitnesses, learnt, mTiming);
  }
  AskFloors(aNow, aView, proof, aLedger, aSelf, aActions);
  const duration delay = std::max<std::int64_t>(rank, 0) * kRankDelay;
  // Whoever fenced it writes at once; the others only if that one is lost too.
  const bool is_first = is_own || mFencedHere.contains(name);
  const bool may_write = is_first || aNow >= learnt + mTiming.mTtl + delay;
  if (proof.IsComplete(aNow) && may_write && aNow >= mQuietUntil[name]) {
    node_record retired = aRecord;
    retired.mState = node_state::kRetired;
    retired.mRetiredThrough = aRecord.mIdentity.incarnation;
    aActions.Note("retiring", ToText(aRecord.mIdentity));
    Write(aNow, retired, aActions);
  }
}

void
taker::AskFloors(instant aNow,
                 const cluster_view& aView,
                 retirement_proof& aProof,
                 witness_ledger& aLedger,
                 const std::optional<node_identity>& aSelf,
                 action_list& aActions)
{
  const bool may_send = aNow >= mNextAsk;
  for (const node_identity& witness : aProof.UnacknowledgedWitnesses()) {
    if (aSelf == witness) {
      if (aLedger.RaiseFencingFloor(aProof.FencedNode(), witness, aNow)) {
        aProof.OnFencingFloorAcknowledged(witness);
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
      aProof.OnWitnessRetired(witness, aView.ObservedAt(witness.name), is_gone);
    }
    if (may_send) {
      protocol::floor_request request;
      request.holder = aProof.FencedNode();
      request.witness = witness;
      request.taker_address = mAddresses.mControl;
      control_message message;
      message.__set_raise_floor(request);
      aActions.Send(record->mAddresses.mControl, message);
      mNextAsk = aNow + kAskEvery;
    }
  }
}

void
taker::Write(instant aNow, const node_record& aRecord, action_list& aActions)
{
  const std::string& name = aRecord.mIdentity.name;
  // One attempt at a time; the answer comes before, or is taken for lost.
  mQuietUntil[name] = aNow + std::chrono::seconds(2);
  const std::int64_t token = aActions.Write(
    { std::string(kNodeKind), name, aRecord.mRevision, Serialize(aRecord) });
  mWrites[token] = { name, aRecord.mObservedAt };
}

void
taker::OnFloorRaised(const protocol::floor_reply& aReply)
{
  const auto found = mProofs.find(aReply.holder.name);
  const bool counts = found != mProofs.end() && aReply.acknowledged &&
                      found->second.FencedNode() == aReply.holder;
  if (counts) {
    found->second.OnFencingFloorAcknowledged(aReply.witness);
  }
}

bool
taker::OnWriteFinished(const write_finished& aEvent,
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
    mQuietUntil[name] = aNow + kWriteRetryPause;
    mReads[aActions.Read(kNodeKind, name)] = name;
    return true;
  }
  mQuietUntil.erase(name);
  aView.ApplyObject(*aEvent.mResult, aNow);
  const node_record* record = aView.FindNode(name);
  if (record != nullptr && record->mState == node_state::kFenced) {
    mFencedHere.insert(name);
    mProofs.insert_or_assign(
      name,
      retirement_proof(
        record->mIdentity, record->mWitnesses, unchanged_since, mTiming));
  }
  return true;
}

bool
taker::OnReadFinished(const read_finished& aEvent,
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
