#include "plantaindale/node/node_machine.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "plantaindale/base/error.h"

namespace plantaindale {
namespace {

// A witness refuses a holder that is behind a newer configuration for this
// long. Adding the lease TTL, an old configuration is out of use within 5 s.
constexpr duration kMaxConfigurationLag = std::chrono::milliseconds(3500);
// A witness refuses a holder that does not know of a restore of the store for
// this long, so that the holder learns of it.
constexpr duration kMaxEraLag = std::chrono::seconds(1);
// Time for the traffic thread and the other nodes to learn that this node
// drains. Request counts reported earlier do not show that the drain is done.
constexpr duration kDrainPropagationTime = std::chrono::milliseconds(100);
// Longest time that a drain waits for other nodes to replace this witness.
constexpr duration kWitnessReplacementTimeout = std::chrono::seconds(5);

} // namespace

node_machine::node_machine(node_description aDescription,
                           lease_timing aTiming,
                           std::uint64_t aSeed)
  : mTiming(aTiming)
  , mControlAddress(aDescription.mAddresses.mControl)
  , mLocalMembership(aDescription, aTiming)
  , mLedger(MakeIdentity(aDescription.mName, 0), aTiming)
  , mFencingCoordinator(aDescription.mName,
                        aDescription.mProcess,
                        aDescription.mAddresses,
                        aTiming)
  , mShardManager(mControlAddress, aTiming)
  , mGossip(aDescription.mName,
            aDescription.mFailureDomain,
            mControlAddress,
            aSeed)
  , mCrashControl(aDescription.mName, aDescription.mFailureDomain, aSeed)
{
}

std::vector<action>
node_machine::Step(const event& aEvent, instant aNow)
{
  action_list actions(mNextToken);
  mIsViewFromStore = std::holds_alternative<store_changed>(aEvent);
  std::visit([&](const auto& aEvent) { HandleEvent(aEvent, aNow, actions); },
             aEvent);
  Advance(aNow, actions);
  return actions.TakeActions();
}

void
node_machine::Advance(instant aNow, action_list& aActions)
{
  if (IsFinished()) {
    return;
  }
  const bool was_member = IsMember();
  const bool is_recovered = IsStoreRecovered(aNow);
  mLocalMembership.SetStoreRecovered(is_recovered);
  mLocalMembership.Step(aNow, mView, aActions);
  if (IsFinished()) {
    return; // a replaced process must not fence its successor
  }
  if (was_member && !IsMember()) {
    mShardManager.CancelMoves();
  }
  mFencingCoordinator.RewriteLost(aNow, mView, aActions);
  if (is_recovered) {
    mFencingCoordinator.Step(
      aNow, mView, mLedger, Self(), aNow < LeaseUntil(), aActions);
  }
  if (IsMember()) {
    if (mLocalMembership.Server()) {
      mBalancer.Step(aNow,
                     mView,
                     mLocalMembership.Identity(),
                     mLocalMembership.Server()->mService);
    }
    mShardManager.Step(aNow,
                       mView,
                       mLocalMembership.Identity(),
                       { .mMustHandOff = MustHandOffShards(),
                         .mMayChangeOwners = is_recovered,
                         .mMayVacate = MustVacateShards() },
                       aActions);
  }
  LeaveWhenDrained(aNow, aActions);
  mCrashControl.Step(aNow, mUnixTime, mView, aActions);
  mGossip.SetUnderloaded(IsMember() && mBalancer.IsUnderloaded());
  mGossip.Step(aNow,
               mView,
               mGossip.IsDigestDue(aNow) ? LocalDigest(aNow)
                                         : protocol::digest(),
               aActions);
  LogConfigurationChange(aActions);
  LogEvacuations(aActions);
}

bool
node_machine::IsStoreRecovered(instant aNow) const
{
  const bool may_lack_objects =
    mView.WasRestored() &&
    aNow < mView.EraObservedAt() + mTiming.mStoreRecoveryTime;
  return mView.IsCompleteInEra() && !may_lack_objects;
}

void
node_machine::OnDigest(const protocol::digest& aDigest,
                       instant aNow,
                       action_list& aActions)
{
  mView.TakeEvacuations(
    { aDigest.evacuations_revision, aDigest.evacuated_domains });
  mGossip.OnDigest(aNow, aDigest, mView, aActions);
  if (mCrashControl.OnDigest(aDigest, aNow, aActions)) {
    mGossip.SendDigest(aDigest.address, mView, LocalDigest(aNow), aActions);
  }
  if (IsMember() && !MustHandOffShards()) {
    mBalancer.OnDigest(aDigest,
                       aNow,
                       mView,
                       mLocalMembership.Identity(),
                       mShardManager,
                       aActions);
  }
}

void
node_machine::LogConfigurationChange(action_list& aActions)
{
  const std::int64_t number = mView.Configuration().mNumber;
  if (number != mLoggedConfiguration) {
    mLoggedConfiguration = number;
    aActions.LogEvent("configuration",
                      absl::StrCat(number),
                      mIsViewFromStore ? "from the platform's store"
                                       : "from another node");
  }
}

void
node_machine::LogEvacuations(action_list& aActions)
{
  const evacuation_list& evacuations = mView.Evacuations();
  if (evacuations.Domains() == mLoggedEvacuations) {
    return;
  }
  mLoggedEvacuations = evacuations.Domains();
  aActions.Add(log_event_action{
    "evacuations",
    absl::StrJoin(mLoggedEvacuations, ","),
    mIsViewFromStore ? "from the platform's store" : "from another node",
    { { "revision", absl::StrCat(evacuations.Revision()) },
      { "local", IsEvacuated() ? "yes" : "no" } } });
}

bool
node_machine::KnowsEvacuations() const
{
  return !mLocalMembership.Description().mAwaitsEvacuations ||
         mView.Evacuations().IsKnown();
}

bool
node_machine::IsEvacuated() const
{
  return mView.Evacuations().Contains(
    mLocalMembership.Description().mFailureDomain);
}

bool
node_machine::MustVacateShards() const
{
  return mLocalMembership.IsDraining() || !mLocalMembership.Server() ||
         mLocalMembership.Server()->mIsLeaving;
}

bool
node_machine::MustHandOffShards() const
{
  return MustVacateShards() || IsEvacuated();
}

protocol::digest
node_machine::LocalDigest(instant aNow) const
{
  protocol::digest digest;
  digest.sender = mLocalMembership.Identity();
  digest.crashes_hash = mCrashControl.Ledger().Hash();
  if (IsMember() && mLocalMembership.Server()) {
    digest.service_name = mLocalMembership.Server()->mService;
    digest.load = mBalancer.Load();
    digest.settled_load = mBalancer.SettledLoad();
    digest.takes_shards = !MustHandOffShards() && !mBalancer.HasNewShards(aNow);
  }
  return digest;
}

std::optional<node_identity>
node_machine::Self() const
{
  if (!IsMember()) {
    return std::nullopt;
  }
  return mLocalMembership.Identity();
}

bool
node_machine::IsFinished() const
{
  return mLocalMembership.Phase() == membership_phase::kLeft ||
         mLocalMembership.Phase() == membership_phase::kReplaced;
}

void
node_machine::HandleEvent(const tick&, instant, action_list&)
{
}

void
node_machine::HandleEvent(const message_received& aEvent,
                          instant aNow,
                          action_list& aActions)
{
  const control_message& message = aEvent.mMessage;
  if (message.__isset.vouch) {
    OnVouch(message.vouch, aNow, aActions);
  } else if (message.__isset.vouched) {
    mLocalMembership.OnVouch(message.vouched, aNow);
  } else if (message.__isset.raise_floor) {
    OnFencingRequest(message.raise_floor, aNow, aActions);
  } else if (message.__isset.floor_raised) {
    mFencingCoordinator.OnFencingReply(message.floor_raised);
  } else if (message.__isset.known) {
    OnDigest(message.known, aNow, aActions);
  } else if (message.__isset.delta) {
    OnDelta(message.delta, aNow, aActions);
  } else if (message.__isset.crashes) {
    mCrashControl.OnRecords(message.crashes, aNow, mView, aActions);
  } else if (message.__isset.move && IsMember()) {
    mShardManager.StartMove({ message.move.service_name, message.move.shard },
                            message.move.target,
                            aNow,
                            mView,
                            mLocalMembership.Identity(),
                            aActions);
  } else if (message.__isset.warm) {
    OnWarm(message.warm, aActions);
  } else if (message.__isset.warmed) {
    mShardManager.OnWarmed(message.warmed, aNow, aActions);
  }
}

void
node_machine::OnDelta(const object_delta& aDelta,
                      instant aNow,
                      action_list& aActions)
{
  const std::int64_t generation = mView.Generation();
  if (mView.Apply(aDelta, aNow) == view_change::kGap) {
    mGossip.ExpediteDigest();
  }
  const bool is_page_update = aDelta.to_revision == 0 &&
                              !aDelta.objects.empty() &&
                              aDelta.objects.front().kind == kShardPageKind;
  if (is_page_update && mView.Generation() != generation) {
    mGossip.ForwardUpdates(aDelta, mView, aActions);
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
  const bool is_fenced =
    mView.IsRetired(aRequest.holder) ||
    (holder != nullptr && holder->mIdentity == aRequest.holder &&
     !holder->IsActive());
  if (is_fenced) {
    return refuse("the holder is fenced");
  }
  if (aNow >= LeaseUntil() + mTiming.mGrace) {
    return refuse(
      "the witness has been without a lease for longer than the grace "
      "period");
  }
  const bool has_missed_restore = EraOf(aRequest.revision) < mView.Era() &&
                                  aNow >= mView.EraObservedAt() + kMaxEraLag;
  if (has_missed_restore) {
    return refuse("the holder has not learned of the store's restore");
  }
  const bool has_old_configuration =
    aRequest.config_number < mView.Configuration().mNumber &&
    aNow >= mView.ConfigurationObservedAt() + kMaxConfigurationLag;
  if (has_old_configuration) {
    return refuse(absl::StrCat("the holder's configuration ",
                               aRequest.config_number,
                               " is older than ",
                               mView.Configuration().mNumber));
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
  mGossip.OnPeerRevision(
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
  if (vouched.ok()) {
    return;
  }
  // A holder is usually refused because its view is stale; send the changes.
  const std::string& address = holder->mAddresses.mControl;
  if (aRequest.revision < mView.Revision()) {
    gossip_protocol::SendChanges(address, aRequest.revision, mView, aActions);
  }
  if (aRequest.config_number < mView.Configuration().mNumber) {
    gossip_protocol::SendConfiguration(
      address, aRequest.config_number, mView, aActions);
  }
}

void
node_machine::OnFencingRequest(const protocol::floor_request& aRequest,
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
  if (!IsMember() || aRequest.target != mLocalMembership.Identity()) {
    return;
  }
  aActions.Add(warm_shard{ { aRequest.service_name, aRequest.shard },
                           aRequest.owner_address });
}

void
node_machine::HandleEvent(const write_finished& aEvent,
                          instant aNow,
                          action_list& aActions)
{
  if (mCrashControl.OnWriteFinished(aEvent)) {
    return;
  }
  const bool was_member = IsMember();
  if (mLocalMembership.OnWriteFinished(aEvent, aNow, mView, aActions)) {
    if (!was_member && IsMember()) {
      mLedger = witness_ledger(mLocalMembership.Identity(), mTiming);
    }
    return;
  }
  if (mFencingCoordinator.OnWriteFinished(aEvent, aNow, mView, aActions)) {
    return;
  }
  mShardManager.OnWriteFinished(aEvent, aNow, mView, aActions);
  if (aEvent.mResult.ok() && aEvent.mResult->kind == kShardPageKind) {
    mGossip.BroadcastPage(*aEvent.mResult, mView, aActions);
  }
}

void
node_machine::HandleEvent(const read_finished& aEvent,
                          instant aNow,
                          action_list& aActions)
{
  if (!mLocalMembership.OnReadFinished(aEvent, aNow, mView, aActions) &&
      !mFencingCoordinator.OnReadFinished(aEvent, aNow, mView)) {
    mShardManager.OnReadFinished(aEvent, aNow, mView, aActions);
  }
}

void
node_machine::HandleEvent(const store_changed& aEvent,
                          instant aNow,
                          action_list&)
{
  mView.Apply(aEvent.mDelta, aNow);
}

void
node_machine::HandleEvent(const server_announced& aEvent, instant, action_list&)
{
  mLocalMembership.SetBackendServer(aEvent.mServer);
}

void
node_machine::HandleEvent(const rejoin_requested&, instant, action_list&)
{
  mLocalMembership.RequestRejoin();
}

void
node_machine::HandleEvent(const watch_ended& aEvent, instant, action_list&)
{
  mGossip.SetCanWatch(aEvent.mSucceeded);
}

void
node_machine::HandleEvent(const shards_drained& aEvent, instant, action_list&)
{
  mShardManager.OnDrained(aEvent.mShards, aEvent.mHandover);
}

void
node_machine::HandleEvent(const shard_warmed& aEvent,
                          instant,
                          action_list& aActions)
{
  if (!IsMember()) {
    return;
  }
  protocol::warm_reply reply;
  reply.service_name = aEvent.mShard.mService;
  reply.shard = aEvent.mShard.mIndex;
  reply.target = mLocalMembership.Identity();
  control_message message;
  message.__set_warmed(reply);
  aActions.Send(aEvent.mOwnerAddress, message);
}

void
node_machine::HandleEvent(const traffic_report& aEvent,
                          instant aNow,
                          action_list&)
{
  mTraffic = aEvent;
  mTrafficAt = aNow;
  mBalancer.OnTraffic(aEvent);
}

void
node_machine::HandleEvent(const drain_requested&,
                          instant aNow,
                          action_list& aActions)
{
  if (mLocalMembership.IsDraining()) {
    return;
  }
  mLocalMembership.SetDraining(true);
  mDrainingSince = aNow;
  aActions.LogEvent("draining", mLocalMembership.Description().mName);
}

void
node_machine::HandleEvent(const undrain_requested&, instant, action_list&)
{
  mLocalMembership.SetDraining(false);
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
      if (witness == mLocalMembership.Identity()) {
        return true;
      }
    }
  }
  return false;
}

std::string
node_machine::DrainWaitsFor(instant aNow) const
{
  const node_record* record = mView.FindNode(mLocalMembership.Identity());
  if (record == nullptr || !record->mDraining) {
    return "the store has not accepted the draining record yet";
  }
  if (mShardManager.OwnedShards(mView, mLocalMembership.Identity()) > 0) {
    return "shards are still being moved to other nodes";
  }
  if (mTrafficAt < mDrainingSince + kDrainPropagationTime) {
    return "no request count has been reported since the drain began";
  }
  if (mTraffic.mOutstanding > 0) {
    return absl::StrCat(mTraffic.mOutstanding, " requests are still running");
  }
  const bool may_wait = aNow < mDrainingSince + kWitnessReplacementTimeout;
  if (may_wait && IsWitnessOfOthers()) {
    return "other nodes still use this node as a witness";
  }
  return "";
}

void
node_machine::LeaveWhenDrained(instant aNow, action_list& aActions)
{
  if (!mLocalMembership.IsDraining()) {
    return;
  }
  const bool may_leave =
    mLocalMembership.Phase() == membership_phase::kNotJoined ||
    (IsMember() && DrainWaitsFor(aNow).empty());
  if (may_leave) {
    mLocalMembership.RequestLeave(aActions);
  }
}

} // namespace plantaindale
