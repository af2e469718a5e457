#include "plantaindale/node/local_membership.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {
namespace {

// Pause after a write that failed or whose result is unknown.
constexpr duration kWriteRetryPause = std::chrono::milliseconds(150);
// Minimum interval between witness changes that only improve the distribution
// over failure domains.
constexpr duration kWitnessRebalanceInterval = std::chrono::seconds(15);
// A node that joins while few others are known has the same witnesses as
// others that join then. It chooses anew among all after this time, since the
// loss of a few common witnesses would leave many lost nodes without a proof.
constexpr duration kFirstWitnessRebalanceDelay = std::chrono::seconds(3);
// A membership of at least this duration resets the rejoin backoff.
constexpr duration kStableMembershipTime = std::chrono::seconds(10);
constexpr duration kMinRejoinBackoff = std::chrono::milliseconds(50);
constexpr duration kMaxRejoinBackoff = std::chrono::seconds(30);
// A witness that missed this many consecutive rounds is replaced, early enough
// that a lease depending on the others does not expire in the meantime.
constexpr int kMaxMissedRounds = 2;

// Whether the fields that this node decides are equal in both records.
bool
HasSameDesiredState(const node_record& aDesired, const node_record& aKnown)
{
  return aDesired.mState == aKnown.mState &&
         aDesired.mDraining == aKnown.mDraining &&
         aDesired.mServer == aKnown.mServer &&
         aDesired.mWitnesses == aKnown.mWitnesses;
}

} // namespace

local_membership::local_membership(node_description aDescription,
                                   lease_timing aTiming)
  : mDescription(std::move(aDescription))
  , mTiming(aTiming)
  , mHolder(MakeIdentity(mDescription.mName, 0), aTiming)
{
}

void
local_membership::Step(instant aNow,
                       const cluster_view& aView,
                       action_list& aActions)
{
  DetectFencing(aNow, aView, aActions);
  if (mMustRejoin && mPhase == membership_phase::kMember) {
    Rejoin(aNow, aActions);
  }
  switch (mPhase) {
    case membership_phase::kNotJoined:
      Join(aNow, aView, aActions);
      return;
    case membership_phase::kMember:
      RenewAtWitnesses(aNow, aView, aActions);
      UpdateRecord(aNow, aView, aActions);
      return;
    case membership_phase::kJoining:
    case membership_phase::kLeft:
    case membership_phase::kReplaced:
      return;
  }
}

void
local_membership::Join(instant aNow,
                       const cluster_view& aView,
                       action_list& aActions)
{
  if (mWriteToken || mReadToken ||
      aNow < std::max(mNextWrite, mGrantsHeldUntil) || aView.Revision() == 0 ||
      mLeaving) {
    return;
  }
  node_record record;
  std::int64_t incarnation = FirstCountOf(aView.Era());
  const node_record* former = aView.FindNode(mDescription.mName);
  const bool is_former_gone = former != nullptr && IsFormerProcessGone(*former);
  if (!mIsStoreRecovered && !is_former_gone) {
    return; // the store may have lost the record of a process that still acts
  }
  if (former != nullptr) {
    KeepFormerServer(*former);
    const bool is_retired =
      former->mRetiredThrough >= former->mIdentity.incarnation;
    if (!is_retired && !is_former_gone) {
      return; // fencing_coordinator must retire it first
    }
    record = *former;
    // Also covers incarnations whose records the store has lost.
    incarnation = std::max(incarnation, former->mIdentity.incarnation + 1);
    record.mRetiredThrough = incarnation - 1;
  }
  const std::int64_t base = record.mRevision;
  mHolder =
    lease_holder(MakeIdentity(mDescription.mName, incarnation), mTiming);
  record.mIdentity = mHolder.Self();
  record.mWrites = 0; // the new identity makes the record differ
  record.mState = node_state::kActive;
  record.mSuccessor.clear();
  record.mRegion = mDescription.mRegion;
  record.mFailureDomain = mDescription.mFailureDomain;
  record.mCapacity = mDescription.mCapacity;
  record.mAddresses = mDescription.mAddresses;
  record.mServer = ServerToJoinWith();
  record.mDraining = mDraining;
  record.mWitnesses = SelectWitnesses(aView, mDescription.mName, {}, {});
  if (aView.Configuration().mLeaseMode == lease_mode::kPlatform) {
    record.mWitnesses.clear();
  }
  mMustRejoin = false;
  mBoundServer = mServer;
  mPhase = membership_phase::kJoining;
  mFirstIncarnation = mFirstIncarnation == 0 ? incarnation : mFirstIncarnation;
  mLastIncarnation = incarnation;
  SendWrite(aNow, std::move(record), base, aActions);
}

void
local_membership::KeepFormerServer(const node_record& aFormer)
{
  const bool was_this_process =
    mFirstIncarnation > 0 && aFormer.mIdentity.incarnation >= mFirstIncarnation;
  const bool is_same_node = aFormer.mAddresses == mDescription.mAddresses;
  if (is_same_node && !was_this_process && aFormer.mServer) {
    mFormerServer = aFormer.mServer;
  }
}

std::optional<announced_server>
local_membership::ServerToJoinWith() const
{
  const bool was_announced = mServerGeneration > 0;
  if (!was_announced) {
    return mFormerServer;
  }
  if (!mServer || !mFormerServer) {
    return mServer;
  }
  announced_server server = *mServer;
  server.mIsLeaving = server.mIsLeaving || (mFormerServer->mIsLeaving &&
                                            mFormerServer->IsSameStart(server));
  return server;
}

bool
local_membership::IsFormerProcessGone(const node_record& aFormer) const
{
  const bool was_this_process =
    mLastIncarnation > 0 && aFormer.mIdentity.incarnation == mLastIncarnation;
  return was_this_process || aFormer.mAddresses == mDescription.mAddresses;
}

void
local_membership::SetBackendServer(std::optional<announced_server> aServer)
{
  mServer = std::move(aServer);
  ++mServerGeneration;
  if (!mServer) {
    return;
  }
  if (!mBoundServer) {
    mBoundServer = mServer;
  }
  const bool has_restarted = !mBoundServer->IsSameStart(*mServer);
  mMustRejoin = mMustRejoin || (has_restarted && mServer->mKeepsGrants);
}

std::optional<grant_binding>
local_membership::GrantBinding() const
{
  const bool is_bound = mPhase == membership_phase::kMember && !mMustRejoin &&
                        mServer && mServer->mKeepsGrants &&
                        mBoundServer->IsSameStart(*mServer);
  if (!is_bound) {
    return std::nullopt;
  }
  return grant_binding(*mServer, Identity());
}

void
local_membership::RequestLeave(action_list& aActions)
{
  mLeaving = true;
  if (mPhase == membership_phase::kNotJoined) {
    mPhase = membership_phase::kLeft;
    aActions.LogEvent("left", mDescription.mName, "the node had not joined");
  }
}

void
local_membership::Rejoin(instant aNow, action_list& aActions)
{
  mMustRejoin = false;
  mHolder.Revoke();
  mWriteToken.reset();
  mReadToken.reset();
  mPhase = membership_phase::kNotJoined;
  mNextWrite = aNow;
  aActions.LogEvent(
    "rejoining", ToText(mHolder.Self()), "the backend server restarted");
}

void
local_membership::RenewAtWitnesses(instant aNow,
                                   const cluster_view& aView,
                                   action_list& aActions)
{
  if (aNow < mNextRound) {
    return;
  }
  mNextRound = aNow + mTiming.mRenewInterval;
  const vouch_round round = mHolder.BeginRound(aNow);
  for (const node_identity& witness : round.mWitnesses) {
    const node_record* record = aView.FindNode(witness.name);
    if (record == nullptr) {
      continue;
    }
    protocol::vouch_request request;
    request.holder = mHolder.Self();
    request.witness = witness;
    request.round = round.mNumber;
    request.config_number = aView.Configuration().mNumber;
    request.revision = aView.Revision();
    control_message message;
    message.__set_vouch(request);
    aActions.Send(record->mAddresses.mControl, message);
  }
}

std::set<node_identity>
local_membership::UnresponsiveWitnesses(instant aNow) const
{
  std::set<node_identity> unresponsive;
  for (const node_identity& witness : mHolder.Witnesses()) {
    const bool is_unresponsive =
      mHolder.ConsecutiveMissedRounds(witness, aNow) >= kMaxMissedRounds;
    if (is_unresponsive) {
      unresponsive.insert(witness);
    }
  }
  return unresponsive;
}

bool
local_membership::MayChangeWitnesses(instant aNow,
                                     const node_record& aKnown,
                                     const cluster_view& aView) const
{
  const auto is_available = [&](const node_identity& aWitness) {
    const node_record* record = aView.FindNode(aWitness);
    return record != nullptr && record->IsActive() && !record->mDraining;
  };
  const bool all_available = std::all_of(
    aKnown.mWitnesses.begin(), aKnown.mWitnesses.end(), is_available);
  if (!all_available || aKnown.mWitnesses.empty()) {
    return true;
  }
  // If no witness has vouched since the last change, this node may itself be
  // partitioned. Another change would extend its lease by the write alone,
  // although no node can reach it.
  if (!UnresponsiveWitnesses(aNow).empty()) {
    return mHolder.HasVouchSinceChange();
  }
  // Improving the distribution over failure domains is not urgent. Doing it at
  // once would choose a node again that has just been unresponsive.
  return aNow >= mNextWitnessRebalance;
}

node_record
local_membership::DesiredRecord(instant aNow,
                                const node_record& aKnown,
                                const cluster_view& aView) const
{
  node_record desired = aKnown;
  desired.mServer = mServer;
  desired.mDraining = mDraining;
  if (MayChangeWitnesses(aNow, aKnown, aView)) {
    const bool choose_anew =
      !mHasSpreadWitnesses && aNow >= mNextWitnessRebalance;
    desired.mWitnesses = SelectWitnesses(
      aView,
      mDescription.mName,
      choose_anew ? std::vector<node_identity>() : aKnown.mWitnesses,
      UnresponsiveWitnesses(aNow));
  }
  if (aView.Configuration().mLeaseMode == lease_mode::kPlatform) {
    desired.mWitnesses.clear();
  }
  if (mLeaving) {
    desired.mState = node_state::kLeft;
    desired.mRetiredThrough = mHolder.Self().incarnation;
  }
  return desired;
}

void
local_membership::UpdateRecord(instant aNow,
                               const cluster_view& aView,
                               action_list& aActions)
{
  if (mWriteToken || mReadToken || aNow < mNextWrite || !MayWriteRecord(aNow)) {
    return;
  }
  const node_record* known = aView.FindNode(mHolder.Self());
  if (known == nullptr) {
    return;
  }
  if (mHolder.HasUnresolvedWrite()) {
    // A write whose result was lost may still take effect until a later write
    // succeeds; that write must be based on the current revision.
    mReadToken = aActions.Read(kNodeKind, mDescription.mName);
    return;
  }
  const bool is_current = IsRecordCurrent(aNow, *known, aView);
  const bool is_rebalance_due = aNow >= mNextWitnessRebalance;
  if (is_current && !is_rebalance_due) {
    return; // spares a copy of the record
  }
  node_record desired = DesiredRecord(aNow, *known, aView);
  if (is_rebalance_due) {
    mNextWitnessRebalance = aNow + kWitnessRebalanceInterval;
    mHasSpreadWitnesses = true;
  }
  const bool is_platform_renewal = desired.mWitnesses.empty();
  if (is_platform_renewal) {
    mNextWrite = aNow + mTiming.mRenewInterval;
  } else if (HasSameDesiredState(desired, *known) &&
             IsRecordSaved(aView, *known)) {
    return;
  }
  SendWrite(aNow, std::move(desired), known->mRevision, aActions);
}

bool
local_membership::IsRecordCurrent(instant aNow,
                                  const node_record& aKnown,
                                  const cluster_view& aView) const
{
  const bool renews_in_platform =
    aKnown.mWitnesses.empty() ||
    aView.Configuration().mLeaseMode == lease_mode::kPlatform;
  return !mLeaving && !renews_in_platform && aKnown.mServer == mServer &&
         aKnown.mDraining == mDraining && IsRecordSaved(aView, aKnown) &&
         !MayChangeWitnesses(aNow, aKnown, aView);
}

bool
local_membership::IsRecordSaved(const cluster_view& aView,
                                const node_record& aKnown) const
{
  return EraOf(aKnown.mRevision) == aView.Era() &&
         aKnown.mWitnesses == mHolder.Witnesses() &&
         !aView.IsUnsaved(kNodeKind, mDescription.mName);
}

instant
local_membership::LeaseUntil(const cluster_view& aView) const
{
  const node_record* known =
    aView.WasRestored() ? aView.FindNode(mHolder.Self()) : nullptr;
  if (known == nullptr || IsRecordSaved(aView, *known)) {
    return mHolder.LeaseUntil();
  }
  return std::min(mHolder.LeaseUntil(),
                  aView.EraObservedAt() + mTiming.mStoreRewriteTime);
}

bool
local_membership::MayWriteRecord(instant aNow) const
{
  return mIsStoreRecovered || mHolder.Holds(aNow);
}

void
local_membership::SendWrite(instant aNow,
                            node_record aRecord,
                            std::int64_t aBase,
                            action_list& aActions)
{
  if (aRecord.mWitnesses != mHolder.Witnesses()) {
    mNextWitnessRebalance = aNow + kWitnessRebalanceInterval;
  }
  mHolder.BeginWrite(aNow, aRecord.mWitnesses);
  mWriteBase = aBase;
  ++aRecord.mWrites;
  mWriteToken = aActions.Write(
    { std::string(kNodeKind), mDescription.mName, aBase, Serialize(aRecord) });
}

bool
local_membership::OnWriteFinished(const write_finished& aEvent,
                                  instant aNow,
                                  cluster_view& aView,
                                  action_list& aActions)
{
  if (mWriteToken != aEvent.mToken) {
    return false;
  }
  mWriteToken.reset();
  // Without a new revision, the store has changed nothing: other nodes don't
  // see a renewal, and an earlier write may still take effect.
  if (aEvent.mResult.ok() && aEvent.mResult->revision > mWriteBase) {
    mHolder.WriteSucceeded();
    aView.ApplyObject(*aEvent.mResult, aNow);
    if (mPhase == membership_phase::kJoining) {
      mPhase = membership_phase::kMember;
      mJoinedAt = aNow;
      mNextWitnessRebalance = aNow + kFirstWitnessRebalanceDelay;
      mHasSpreadWitnesses = false;
      aActions.LogEvent("joined", ToText(mHolder.Self()));
    }
    if (mLeaving && mPhase == membership_phase::kMember) {
      mHolder.Revoke();
      mPhase = membership_phase::kLeft;
      aActions.LogEvent("left", ToText(mHolder.Self()));
    }
    return true;
  }
  if (aEvent.mResult.ok()) {
    aActions.LogEvent("write_without_effect",
                      ToText(mHolder.Self()),
                      absl::StrCat("expected a revision above ",
                                   mWriteBase,
                                   ", got ",
                                   aEvent.mResult->revision));
  }
  if (absl::IsAborted(aEvent.mResult.status())) {
    mHolder.WriteRefused();
  } else {
    mHolder.WriteUnknown();
  }
  if (mPhase == membership_phase::kJoining) {
    // It may have taken effect, so the next attempt uses a new incarnation.
    mHolder.Revoke();
    mPhase = membership_phase::kNotJoined;
  }
  mNextWrite = aNow + kWriteRetryPause;
  mReadToken = aActions.Read(kNodeKind, mDescription.mName);
  return true;
}

bool
local_membership::OnReadFinished(const read_finished& aEvent,
                                 instant aNow,
                                 cluster_view& aView,
                                 action_list& aActions)
{
  if (mReadToken != aEvent.mToken) {
    return false;
  }
  mReadToken.reset();
  mNextWrite = aNow + kWriteRetryPause;
  if (!aEvent.mResult.ok()) {
    return true;
  }
  aView.ApplyObject(*aEvent.mResult, aNow);
  const node_record* known = aView.FindNode(mHolder.Self());
  const bool may_resolve = mPhase == membership_phase::kMember &&
                           mHolder.HasUnresolvedWrite() && known != nullptr &&
                           known->IsActive() && MayWriteRecord(aNow);
  if (may_resolve) {
    SendWrite(
      aNow, DesiredRecord(aNow, *known, aView), known->mRevision, aActions);
  }
  return true;
}

void
local_membership::OnVouch(const protocol::vouch_reply& aReply, instant aNow)
{
  if (aReply.holder == mHolder.Self() && aReply.vouched) {
    mHolder.OnVouch(aReply.witness, aReply.round, aNow);
  }
}

// Other nodes fence a node that they can't reach soon after it rejoins. The
// exponential backoff keeps it from being assigned shards again and again.
void
local_membership::ScheduleRejoin(instant aNow)
{
  const bool was_stable = aNow >= mJoinedAt + kStableMembershipTime;
  mRejoinBackoff = was_stable ? kMinRejoinBackoff
                              : std::min(mRejoinBackoff * 2, kMaxRejoinBackoff);
  mNextWrite = aNow + mRejoinBackoff;
}

bool
local_membership::IsReplaced(const cluster_view& aView) const
{
  const node_record* record = aView.FindNode(mDescription.mName);
  const std::int64_t local_incarnation = mHolder.Self().incarnation;
  if (local_incarnation == 0 || record == nullptr) {
    return false;
  }
  const bool is_reserved =
    !record->mSuccessor.empty() && record->mSuccessor != mDescription.mProcess;
  return record->mIdentity.incarnation > local_incarnation || is_reserved;
}

void
local_membership::DetectFencing(instant aNow,
                                const cluster_view& aView,
                                action_list& aActions)
{
  if (mPhase == membership_phase::kLeft ||
      mPhase == membership_phase::kReplaced) {
    return;
  }
  if (IsReplaced(aView)) {
    mHolder.Revoke();
    mPhase = membership_phase::kReplaced;
    aActions.LogEvent(
      "replaced", ToText(mHolder.Self()), "the name was taken over");
    return;
  }
  const node_record* record = aView.FindNode(mHolder.Self());
  const bool is_fenced = mPhase == membership_phase::kMember &&
                         record != nullptr && !record->IsActive();
  if (is_fenced) {
    mHolder.Revoke();
    mWriteToken.reset();
    mReadToken.reset();
    mPhase = membership_phase::kNotJoined;
    ScheduleRejoin(aNow);
    aActions.LogEvent("fenced", ToText(mHolder.Self()), "rejoins when retired");
  }
}

} // namespace plantaindale
