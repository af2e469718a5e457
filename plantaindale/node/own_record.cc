#include "plantaindale/node/own_record.h"

#include <algorithm>

#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {
namespace {

// Pause after a write that failed or whose end isn't known.
constexpr duration kWriteRetryPause = std::chrono::milliseconds(150);
// Between two changes of witnesses that only improve their spread.
constexpr duration kSpreadEvery = std::chrono::seconds(15);
// A membership that lasted this long was no failed attempt.
constexpr duration kSteadyAfter = std::chrono::seconds(10);
constexpr duration kFirstRejoinPause = std::chrono::milliseconds(50);
constexpr duration kLongestRejoinPause = std::chrono::seconds(30);
// A witness that missed this many rounds in a row is replaced: soon enough for
// a lease that rests on the others alone not to lapse meanwhile.
constexpr int kSilentRounds = 2;

// Whether nothing that this node decides about its record differs.
bool
IsSameWish(const node_record& aDesired, const node_record& aKnown)
{
  return aDesired.mState == aKnown.mState &&
         aDesired.mDraining == aKnown.mDraining &&
         aDesired.mServer == aKnown.mServer &&
         aDesired.mWitnesses == aKnown.mWitnesses;
}

} // namespace

own_record::own_record(node_description aDescription, lease_timing aTiming)
  : mDescription(std::move(aDescription))
  , mTiming(aTiming)
  , mHolder(MakeIdentity(mDescription.mName, 0), aTiming)
{
}

void
own_record::Step(instant aNow, const cluster_view& aView, action_list& aActions)
{
  CheckStillActive(aNow, aView, aActions);
  if (mMustRejoin && mPhase == membership_phase::kMember) {
    Rejoin(aNow, aActions);
  }
  switch (mPhase) {
    case membership_phase::kOutside:
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
own_record::Join(instant aNow, const cluster_view& aView, action_list& aActions)
{
  if (mWriteToken || mReadToken || aNow < mNextWrite || aView.Revision() == 0 ||
      mLeaving) {
    return;
  }
  node_record record;
  if (const node_record* former = aView.FindNode(mDescription.mName)) {
    const bool is_retired =
      former->mRetiredThrough >= former->mIdentity.incarnation;
    if (!is_retired && !HasEnded(*former)) {
      return; // the taker proves its end first
    }
    record = *former;
    record.mRetiredThrough = former->mIdentity.incarnation;
  }
  const std::int64_t base = record.mRevision;
  const std::int64_t incarnation = record.mIdentity.incarnation + 1;
  mHolder =
    lease_holder(MakeIdentity(mDescription.mName, incarnation), mTiming);
  record.mIdentity = mHolder.Self();
  record.mState = node_state::kActive;
  record.mSuccessor.clear();
  record.mRegion = mDescription.mRegion;
  record.mFailureDomain = mDescription.mFailureDomain;
  record.mAddresses = mDescription.mAddresses;
  record.mServer = mServer;
  record.mDraining = mDraining;
  record.mWitnesses = SelectWitnesses(aView, mDescription.mName, {}, {});
  if (aView.Configuration().mLeaseMode == lease_mode::kPlatform) {
    record.mWitnesses.clear();
  }
  mPhase = membership_phase::kJoining;
  mLastIncarnation = incarnation;
  SendWrite(aNow, record, base, aActions);
}

bool
own_record::HasEnded(const node_record& aFormer) const
{
  const bool was_this_process =
    mLastIncarnation > 0 && aFormer.mIdentity.incarnation == mLastIncarnation;
  return was_this_process || aFormer.mAddresses == mDescription.mAddresses;
}

void
own_record::Announce(std::optional<announced_server> aServer)
{
  mServer = std::move(aServer);
  if (!mServer) {
    return;
  }
  const bool is_other = mLastServer && !mLastServer->IsSameStart(*mServer);
  mMustRejoin = mMustRejoin || (is_other && mServer->mKeepsGrants);
  mLastServer = mServer;
}

void
own_record::Leave(action_list& aActions)
{
  mLeaving = true;
  if (mPhase == membership_phase::kOutside) {
    mPhase = membership_phase::kLeft;
    aActions.Note("left", mDescription.mName, "it was no member");
  }
}

void
own_record::Rejoin(instant aNow, action_list& aActions)
{
  mMustRejoin = false;
  mHolder.Revoke();
  mWriteToken.reset();
  mReadToken.reset();
  mPhase = membership_phase::kOutside;
  mNextWrite = aNow;
  aActions.Note(
    "rejoining", ToText(mHolder.Self()), "the backend server has started anew");
}

void
own_record::RenewAtWitnesses(instant aNow,
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
own_record::SilentWitnesses(instant aNow) const
{
  std::set<node_identity> silent;
  for (const node_identity& witness : mHolder.Witnesses()) {
    const bool is_mute =
      mHolder.ConsecutiveMissedRounds(witness, aNow) >= kSilentRounds;
    if (is_mute) {
      silent.insert(witness);
    }
  }
  return silent;
}

bool
own_record::MayChangeWitnesses(instant aNow,
                               const node_record& aKnown,
                               const cluster_view& aView) const
{
  const auto serves = [&](const node_identity& aWitness) {
    const node_record* record = aView.FindNode(aWitness);
    return record != nullptr && record->IsActive() && !record->mDraining;
  };
  const bool all_serve =
    std::all_of(aKnown.mWitnesses.begin(), aKnown.mWitnesses.end(), serves);
  if (!all_serve || aKnown.mWitnesses.empty()) {
    return true;
  }
  // Where no witness has vouched since the last change it is perhaps this node
  // that is cut off. Another change would only renew the lease, by its write,
  // of a node that nobody can reach.
  if (!SilentWitnesses(aNow).empty()) {
    return mHolder.HasVouchSinceChange();
  }
  // A better spread over the failure domains can wait; a node that was silent
  // just now would be chosen again and again.
  return aNow >= mNextSpread;
}

node_record
own_record::DesiredRecord(instant aNow,
                          const node_record& aKnown,
                          const cluster_view& aView) const
{
  node_record desired = aKnown;
  desired.mServer = mServer;
  desired.mDraining = mDraining;
  if (MayChangeWitnesses(aNow, aKnown, aView)) {
    desired.mWitnesses = SelectWitnesses(
      aView, mDescription.mName, aKnown.mWitnesses, SilentWitnesses(aNow));
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
own_record::UpdateRecord(instant aNow,
                         const cluster_view& aView,
                         action_list& aActions)
{
  if (mWriteToken || mReadToken || aNow < mNextWrite) {
    return;
  }
  const node_record* known = aView.FindNode(mHolder.Self());
  if (known == nullptr) {
    return;
  }
  if (mHolder.HasUnresolvedWrite()) {
    // A lost answer is resolved only by a later write that succeeds, since
    // the lost one may still take effect; that write needs the revision as it
    // is now.
    mReadToken = aActions.Read(kNodeKind, mDescription.mName);
    return;
  }
  node_record desired = DesiredRecord(aNow, *known, aView);
  if (aNow >= mNextSpread) {
    mNextSpread = aNow + kSpreadEvery;
  }
  const bool is_platform_renewal = desired.mWitnesses.empty();
  if (is_platform_renewal) {
    mNextWrite = aNow + mTiming.mRenewInterval;
    desired.mRenewals = ++mRenewals;
  } else if (IsSameWish(desired, *known)) {
    return;
  }
  SendWrite(aNow, desired, known->mRevision, aActions);
}

void
own_record::SendWrite(instant aNow,
                      const node_record& aRecord,
                      std::int64_t aBase,
                      action_list& aActions)
{
  if (aRecord.mWitnesses != mHolder.Witnesses()) {
    mNextSpread = aNow + kSpreadEvery;
  }
  mHolder.BeginWrite(aNow, aRecord.mWitnesses);
  mWriteToken = aActions.Write(
    { std::string(kNodeKind), mDescription.mName, aBase, Serialize(aRecord) });
}

bool
own_record::OnWriteFinished(const write_finished& aEvent,
                            instant aNow,
                            cluster_view& aView,
                            action_list& aActions)
{
  if (mWriteToken != aEvent.mToken) {
    return false;
  }
  mWriteToken.reset();
  if (aEvent.mResult.ok()) {
    mHolder.WriteSucceeded();
    aView.ApplyObject(*aEvent.mResult, aNow);
    if (mPhase == membership_phase::kJoining) {
      mPhase = membership_phase::kMember;
      mJoinedAt = aNow;
      aActions.Note("joined", ToText(mHolder.Self()));
    }
    if (mLeaving && mPhase == membership_phase::kMember) {
      mHolder.Revoke();
      mPhase = membership_phase::kLeft;
      aActions.Note("left", ToText(mHolder.Self()));
    }
    return true;
  }
  if (absl::IsAborted(aEvent.mResult.status())) {
    mHolder.WriteRefused();
  } else {
    mHolder.WriteUnknown();
  }
  if (mPhase == membership_phase::kJoining) {
    // Whether it took effect or not, the next attempt is another incarnation.
    mHolder.Revoke();
    mPhase = membership_phase::kOutside;
  }
  mNextWrite = aNow + kWriteRetryPause;
  mReadToken = aActions.Read(kNodeKind, mDescription.mName);
  return true;
}

bool
own_record::OnReadFinished(const read_finished& aEvent,
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
                           known->IsActive();
  if (may_resolve) {
    SendWrite(
      aNow, DesiredRecord(aNow, *known, aView), known->mRevision, aActions);
  }
  return true;
}

void
own_record::OnVouch(const protocol::vouch_reply& aReply, instant aNow)
{
  if (aReply.holder == mHolder.Self() && aReply.vouched) {
    mHolder.OnVouch(aReply.witness, aReply.round, aNow);
  }
}

// A node that others can't reach is fenced again soon after it has rejoined;
// each time it waits longer, so as not to be given shards over and over.
void
own_record::PauseBeforeRejoining(instant aNow)
{
  const bool was_steady = aNow >= mJoinedAt + kSteadyAfter;
  mRejoinPause = was_steady ? kFirstRejoinPause
                            : std::min(mRejoinPause * 2, kLongestRejoinPause);
  mNextWrite = aNow + mRejoinPause;
}

bool
own_record::IsReplaced(const cluster_view& aView) const
{
  const node_record* record = aView.FindNode(mDescription.mName);
  const std::int64_t own = mHolder.Self().incarnation;
  if (own == 0 || record == nullptr) {
    return false;
  }
  const bool is_promised =
    !record->mSuccessor.empty() && record->mSuccessor != mDescription.mProcess;
  return record->mIdentity.incarnation > own || is_promised;
}

void
own_record::CheckStillActive(instant aNow,
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
    aActions.Note(
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
    mPhase = membership_phase::kOutside;
    PauseBeforeRejoining(aNow);
    aActions.Note("fenced", ToText(mHolder.Self()), "rejoins when retired");
  }
}

} // namespace plantaindale
