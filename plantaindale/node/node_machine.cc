#include "plantaindale/node/node_machine.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"

namespace plantaindale {
namespace {

// A holder that is this long behind a configuration known here gets no vouch.
// With the TTL on top the old configuration is out of force within 5 s.
constexpr duration kOldConfigurationLimit = std::chrono::milliseconds(3500);
// The traffic thread has seen that the node drains, and the others have heard
// of it, when it counts its requests.
constexpr duration kDrainSeen = std::chrono::milliseconds(100);
// How long a drain waits for others to replace this node as their witness.
constexpr duration kLongestWitnessWait = std::chrono::seconds(5);

} // namespace

node_machine::node_machine(node_description aDescription,
                           lease_timing aTiming,
                           std::uint64_t aSeed)
  : mTiming(aTiming)
  , mControlAddress(aDescription.mAddresses.mControl)
  , mOwn(aDescription, aTiming)
  , mLedger(MakeIdentity(aDescription.mName, 0), aTiming)
  , mTaker(aDescription.mName,
           aDescription.mProcess,
           aDescription.mAddresses,
           aTiming)
  , mShards(mControlAddress, aTiming)
  , mSpreader(aDescription.mName,
              aDescription.mFailureDomain,
              mControlAddress,
              aSeed)
{
}

std::vector<action>
node_machine::Step(const event& aEvent, instant aNow)
{
  action_list actions(mNextToken);
  std::visit([&](const auto& aEvent) { On(aEvent, aNow, actions); }, aEvent);
  Advance(aNow, actions);
  return actions.Take();
}

void
node_machine::Advance(instant aNow, action_list& aActions)
{
  if (IsFinished()) {
    return;
  }
  const bool was_member = IsMember();
  mOwn.Step(aNow, mView, aActions);
  if (IsFinished()) {
    return; // a process that was replaced must not fence its successor
  }
  if (was_member && !IsMember()) {
    mShards.DropMoves();
  }
  mTaker.Step(aNow, mView, mLedger, Self(), mOwn.Lease().Holds(aNow), aActions);
  if (IsMember()) {
    if (mOwn.Server()) {
      mBalancer.Step(aNow, mView, mOwn.Identity(), mOwn.Server()->mService);
    }
    mShards.Step(aNow, mView, mOwn.Identity(), GivesShardsAway(), aActions);
  }
  FinishDrain(aNow, aActions);
  mSpreader.SetUnderloaded(IsMember() && mBalancer.IsHungry());
  mSpreader.Step(aNow, mView, OwnDigest(aNow), aActions);
  NoteConfiguration(aActions);
}

void
node_machine::OnDigest(const protocol::digest& aDigest,
                       instant aNow,
                       action_list& aActions)
{
  mSpreader.OnDigest(aNow, aDigest, mView, aActions);
  if (IsMember() && !GivesShardsAway()) {
    mBalancer.OnDigest(
      aDigest, aNow, mView, mOwn.Identity(), mShards, aActions);
  }
}

void
node_machine::NoteConfiguration(action_list& aActions)
{
  const std::int64_t number = mView.Configuration().mNumber;
  if (number != mNotedConfiguration) {
    mNotedConfiguration = number;
    aActions.Note("configuration", absl::StrCat(number));
  }
}

bool
node_machine::GivesShardsAway() const
{
  return mOwn.IsDraining() || !mOwn.Server() || mOwn.Server()->mIsLeaving;
}

protocol::digest
node_machine::OwnDigest(instant aNow) const
{
  protocol::digest digest;
  digest.sender = mOwn.Identity();
  if (IsMember() && mOwn.Server()) {
    digest.service_name = mOwn.Server()->mService;
    digest.load = mBalancer.Load();
    digest.takes_shards = !GivesShardsAway() && !mBalancer.HasNewShards(aNow);
  }
  return digest;
}

std::optional<node_identity>
node_machine::Self() const
{
  if (!IsMember()) {
    return std::nullopt;
  }
  return mOwn.Identity();
}

bool
node_machine::IsFinished() const
{
  return mOwn.Phase() == membership_phase::kLeft ||
         mOwn.Phase() == membership_phase::kReplaced;
}

void
node_machine::On(const tick&, instant, action_list&)
{
}

void
node_machine::On(const message_received& aEvent,
                 instant aNow,
                 action_list& aActions)
{
  const control_message& message = aEvent.mMessage;
  if (message.__isset.vouch) {
    OnVouch(message.vouch, aNow, aActions);
  } else if (message.__isset.vouched) {
    mOwn.OnVouch(message.vouched, aNow);
  } else if (message.__isset.raise_floor) {
    OnRaiseFloor(message.raise_floor, aNow, aActions);
  } else if (message.__isset.floor_raised) {
    mTaker.OnFloorRaised(message.floor_raised);
  } else if (message.__isset.known) {
    OnDigest(message.known, aNow, aActions);
  } else if (message.__isset.delta) {
    OnDelta(message.delta, aNow, aActions);
  } else if (message.__isset.move && IsMember()) {
    mShards.StartMove({ message.move.service_name, message.move.shard },
                      message.move.target,
                      aNow,
                      mView,
                      mOwn.Identity(),
                      aActions);
  } else if (message.__isset.warm) {
    OnWarm(message.warm, aActions);
  } else if (message.__isset.warmed) {
    mShards.OnWarmed(message.warmed, aNow, aActions);
  }
}

void
node_machine::OnDelta(const object_delta& aDelta,
                      instant aNow,
                      action_list& aActions)
{
  const std::int64_t generation = mView.Generation();
  if (mView.Apply(aDelta, aNow) == view_change::kGap) {
    mSpreader.ExpediteDigest();
  }
  const bool is_writers_news = aDelta.to_revision == 0 &&
                               !aDelta.objects.empty() &&
                               aDelta.objects.front().kind == kShardPageKind;
  if (is_writers_news && mView.Generation() != generation) {
    mSpreader.ForwardUpdates(aDelta, mView, aActions);
  }
}

absl::Status
node_machine::MayVouch(const protocol::vouch_request& aRequest,
                       instant aNow) const
{
  const auto refuse = [&](std::string_view aReason) {
    return MakeError(absl::StatusCode::kFailedPrecondition,
                     "vouch",
                     ToText(aRequest.holder),
                     aReason);
  };
  const node_record* holder = mView.FindNode(aRequest.holder.name);
  const bool is_past =
    mView.IsRetired(aRequest.holder) ||
    (holder != nullptr && holder->mIdentity == aRequest.holder &&
     !holder->IsActive());
  if (is_past) {
    return refuse("the holder is fenced");
  }
  if (aNow >= LeaseUntil() + mTiming.mGrace) {
    return refuse("the witness has had no lease itself for too long");
  }
  const bool is_behind =
    aRequest.config_number < mView.Configuration().mNumber &&
    aNow >= mView.ConfigurationObservedAt() + kOldConfigurationLimit;
  if (is_behind) {
    return refuse("the holder's configuration is too old");
  }
  return absl::OkStatus();
}

void
node_machine::OnVouch(const protocol::vouch_request& aRequest,
                      instant aNow,
                      action_list& aActions)
{
  const node_record* holder = mView.FindNode(aRequest.holder.name);
  if (!IsMember() || holder == nullptr) {
    return;
  }
  mSpreader.OnPeerRevision(
    aNow, aRequest.revision, holder->mAddresses.mControl, mView, aActions);
  absl::Status vouched = MayVouch(aRequest, aNow);
  if (vouched.ok()) {
    vouched = mLedger.Vouch(aRequest.holder, aRequest.witness, aNow);
  }
  protocol::vouch_reply reply;
  reply.holder = aRequest.holder;
  reply.witness = aRequest.witness;
  reply.round = aRequest.round;
  reply.vouched = vouched.ok();
  reply.reason = std::string(vouched.message());
  reply.revision = mView.Revision();
  control_message message;
  message.__set_vouched(reply);
  aActions.Send(holder->mAddresses.mControl, message);
  if (!vouched.ok() && aRequest.revision < mView.Revision()) {
    // Most refusals come of old knowledge; bring the holder up to date.
    gossip_protocol::SendChanges(
      holder->mAddresses.mControl, aRequest.revision, mView, aActions);
  }
}

void
node_machine::OnRaiseFloor(const protocol::floor_request& aRequest,
                           instant aNow,
                           action_list& aActions)
{
  if (!IsMember()) {
    return;
  }
  protocol::floor_reply reply;
  reply.holder = aRequest.holder;
  reply.witness = aRequest.witness;
  reply.acknowledged =
    mLedger.RaiseFencingFloor(aRequest.holder, aRequest.witness, aNow);
  control_message message;
  message.__set_floor_raised(reply);
  aActions.Send(aRequest.taker_address, message);
}

void
node_machine::OnWarm(const protocol::warm_request& aRequest,
                     action_list& aActions)
{
  if (!IsMember() || aRequest.target != mOwn.Identity()) {
    return;
  }
  aActions.Add(warm_shard{ { aRequest.service_name, aRequest.shard },
                           aRequest.owner_address });
}

void
node_machine::On(const write_finished& aEvent,
                 instant aNow,
                 action_list& aActions)
{
  const bool was_member = IsMember();
  if (mOwn.OnWriteFinished(aEvent, aNow, mView, aActions)) {
    if (!was_member && IsMember()) {
      mLedger = witness_ledger(mOwn.Identity(), mTiming);
    }
    return;
  }
  if (mTaker.OnWriteFinished(aEvent, aNow, mView, aActions)) {
    return;
  }
  mShards.OnWriteFinished(aEvent, aNow, mView, aActions);
  if (aEvent.mResult.ok() && aEvent.mResult->kind == kShardPageKind) {
    mSpreader.BroadcastPage(*aEvent.mResult, mView, aActions);
  }
}

void
node_machine::On(const read_finished& aEvent,
                 instant aNow,
                 action_list& aActions)
{
  if (!mOwn.OnReadFinished(aEvent, aNow, mView, aActions) &&
      !mTaker.OnReadFinished(aEvent, aNow, mView)) {
    mShards.OnReadFinished(aEvent, aNow, mView, aActions);
  }
}

void
node_machine::On(const store_changed& aEvent, instant aNow, action_list&)
{
  mView.Apply(aEvent.mDelta, aNow);
}

void
node_machine::On(const server_announced& aEvent, instant, action_list&)
{
  mOwn.Announce(aEvent.mServer);
}

void
node_machine::On(const watch_ended& aEvent, instant, action_list&)
{
  mSpreader.SetCanWatch(aEvent.mCameThrough);
}

void
node_machine::On(const shard_quiet& aEvent, instant, action_list&)
{
  mShards.OnQuiet(aEvent.mShard, aEvent.mHandover);
}

void
node_machine::On(const shard_warmed& aEvent, instant, action_list& aActions)
{
  if (!IsMember()) {
    return;
  }
  protocol::warm_reply reply;
  reply.service_name = aEvent.mShard.mService;
  reply.shard = aEvent.mShard.mIndex;
  reply.target = mOwn.Identity();
  control_message message;
  message.__set_warmed(reply);
  aActions.Send(aEvent.mOwnerAddress, message);
}

void
node_machine::On(const traffic_report& aEvent, instant aNow, action_list&)
{
  mTraffic = aEvent;
  mTrafficAt = aNow;
  mBalancer.OnTraffic(aEvent);
}

void
node_machine::On(const drain_requested&, instant aNow, action_list& aActions)
{
  if (mOwn.IsDraining()) {
    return;
  }
  mOwn.SetDraining(true);
  mDrainingSince = aNow;
  aActions.Note("draining", mOwn.Description().mName);
}

void
node_machine::On(const undrain_requested&, instant, action_list&)
{
  mOwn.SetDraining(false);
  mDrainingSince = instant::max();
}

bool
node_machine::IsWitnessOfOthers() const
{
  for (const auto& [name, record] : mView.Nodes()) {
    if (!record.IsActive()) {
      continue;
    }
    for (const node_identity& witness : record.mWitnesses) {
      if (witness == mOwn.Identity()) {
        return true;
      }
    }
  }
  return false;
}

std::string
node_machine::DrainWaitsFor(instant aNow) const
{
  const node_record* record = mView.FindNode(mOwn.Identity());
  if (record == nullptr || !record->mDraining) {
    return "the platform takes the record";
  }
  if (mShards.OwnedShards(mView, mOwn.Identity()) > 0) {
    return "shards are being handed over";
  }
  if (mTrafficAt < mDrainingSince + kDrainSeen) {
    return "requests are being counted";
  }
  if (mTraffic.mOutstanding > 0) {
    return absl::StrCat(mTraffic.mOutstanding, " requests are running");
  }
  const bool is_patient = aNow < mDrainingSince + kLongestWitnessWait;
  if (is_patient && IsWitnessOfOthers()) {
    return "other nodes replace this witness";
  }
  return "";
}

void
node_machine::FinishDrain(instant aNow, action_list& aActions)
{
  const bool may_leave = mOwn.Phase() == membership_phase::kOutside ||
                         (IsMember() && DrainWaitsFor(aNow).empty());
  if (mOwn.IsDraining() && may_leave) {
    mOwn.Leave(aActions);
  }
}

} // namespace plantaindale
