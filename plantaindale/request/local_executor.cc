#include "plantaindale/request/local_executor.h"

#include <algorithm>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/limits/admission_refusal.h"
#include "plantaindale/request/crash_refusal.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/recording_sink.h"

namespace plantaindale {
namespace {

std::string
WindowKey(const protocol::request_head& aHead, std::string_view aKey)
{
  std::string key = aHead.service_name + "\n" + aHead.key + "\n";
  key += aKey;
  return key;
}

// With kHandOverStep the router waits and looks up the shard's owner again.
request_result
Refused(const absl::Status& aStatus)
{
  const std::string_view step =
    absl::IsUnavailable(aStatus) ? kHandOverStep : "check_grant";
  return MakeFailure(outcome_kind::not_run, step, "", Reason(aStatus));
}

request_result
TurnedAway(const absl::Status& aRefusal)
{
  if (absl::IsCancelled(aRefusal)) {
    return Withdrawn();
  }
  request_result result =
    MakeFailure(outcome_kind::not_run, kAdmitStep, "", Reason(aRefusal));
  result.mRoomIn = RoomExpectedIn(aRefusal);
  return result;
}

} // namespace

bool
IsIdempotent(std::string_view aMethod, const service_configuration& aService)
{
  constexpr std::string_view kSafe[] = { "GET",   "HEAD", "OPTIONS",
                                         "TRACE", "PUT",  "DELETE" };
  return std::find(std::begin(kSafe), std::end(kSafe), aMethod) !=
           std::end(kSafe) ||
         (aMethod == "POST" && aService.mIdempotentPosts);
}

// Registers a running request with the executor for as long as it exists.
class local_executor::running_request
{
public:
  running_request(local_executor& aExecutor,
                  const backend_grant& aGrant,
                  const shard_id& aShard,
                  cancellation& aCancellation)
    : mExecutor(aExecutor)
    , mCancellation(aCancellation)
    , mIncarnation(aGrant.mIncarnation)
    , mShard(aShard)
    , mStartTime(boot_clock::now())
  {
    if (mIncarnation > 0) {
      ++mExecutor.mShards[mShard].mRunning;
    }
    if (aGrant.mNeedsLease) {
      mExecutor.mLeased[&mCancellation] = mIncarnation;
    }
  }
  running_request(const running_request&) = delete;
  running_request& operator=(const running_request&) = delete;
  ~running_request()
  {
    if (mIncarnation == 0) {
      return;
    }
    mExecutor.mLeased.erase(&mCancellation);
    shard_activity& activity = mExecutor.mShards[mShard];
    const std::chrono::duration<double> took = boot_clock::now() - mStartTime;
    activity.mBusySeconds += took.count();
    if (--activity.mRunning == 0 && activity.mOnDrained) {
      std::exchange(activity.mOnDrained, nullptr)();
    }
  }

private:
  local_executor& mExecutor;
  cancellation& mCancellation;
  std::int64_t mIncarnation;
  shard_id mShard;
  instant mStartTime;
};

local_executor::local_executor(boost::asio::io_context& aContext,
                               const routing_state& aRoutingState,
                               const http_header_names& aHeaderNames,
                               std::function<void()> aOnNoServer,
                               std::function<void(std::string)> aOnLeaving,
                               crash_callbacks aOnCrashes)
  : mRoutingState(aRoutingState)
  , mClient(aContext,
            aRoutingState,
            aHeaderNames,
            [this](const server_report& aReport) { OnServerReport(aReport); })
  , mCrashGuard(aContext,
                aRoutingState,
                std::move(aOnNoServer),
                std::move(aOnCrashes))
  , mIdempotencyKey(aHeaderNames.mIdempotencyKey)
  , mCalls(aHeaderNames.mCallsNameParents)
  , mOnLeaving(std::move(aOnLeaving))
  , mReportedAt(boot_clock::now())
{
}

void
local_executor::SetServer(const std::optional<announced_server>& aServer,
                          instant aServesUntil)
{
  mHasServer = aServer.has_value();
  if (!aServer) {
    return;
  }
  const bool is_same_start = mClient.Server().IsSameStart(*aServer);
  if (!is_same_start) {
    mReportedRate = std::nullopt;
  }
  if (!is_same_start || mClient.Server().mSlots != aServer->mSlots) {
    mRoom.SetServer(aServer->mSlots);
  }
  mClient.SetServer(*aServer, aServesUntil);
  mCrashGuard.SetServer(*aServer);
  const int connections =
    aServer->mConnections > 0 ? aServer->mConnections : aServer->mSlots;
  UpdatePace();
  mLimiter.SetSlots(std::min(aServer->mSlots, connections));
}

void
local_executor::SetColdUntil(instant aColdUntil)
{
  mColdUntil = aColdUntil;
  UpdatePace();
}

std::optional<double>
local_executor::ColdPace() const
{
  if (boot_clock::now() >= mColdUntil) {
    return std::nullopt;
  }
  const auto snapshot = mRoutingState.Latest();
  const service_configuration* service =
    snapshot->mConfiguration->Find(mClient.Server().mService);
  return service != nullptr && service->mColdStartsPerSecond > 0
           ? std::optional(service->mColdStartsPerSecond)
           : std::nullopt;
}

void
local_executor::UpdatePace()
{
  const std::optional<double> cold_pace = ColdPace();
  const std::optional<double> rate = cold_pace && mReportedRate
                                       ? std::min(cold_pace, mReportedRate)
                                     : cold_pace ? cold_pace
                                                 : mReportedRate;
  if (cold_pace != mColdPace) {
    log_event("cold_pace")
      .With("server", mClient.Server().mInstance)
      .With("state", cold_pace ? "cold" : "warm")
      .With("per_second", cold_pace.value_or(0))
      .With("known", mColdUntil == instant::max() ? "no" : "yes");
    mColdPace = cold_pace;
  }
  if (rate != mAppliedRate) {
    mAppliedRate = rate;
    mLimiter.SetRate(rate);
  }
}

// A load that can't be true is as none.
void
local_executor::OnServerLoad(const server_report& aReport)
{
  const instant now = boot_clock::now();
  if (aReport.mLoad) {
    mRoom.OnLoad(*aReport.mLoad, now);
  }
  if (aReport.mRunTime > duration(0)) {
    mRoom.OnRun(aReport.mRunTime, now);
  }
  const server_room room = Room();
  const bool is_known = room.IsKnown(now);
  if (is_known != mWasRoomKnown) {
    mWasRoomKnown = is_known;
    log_event("server_room")
      .With("server", mClient.Server().mInstance)
      .With("state", is_known ? "known" : "unknown")
      .With("slots", room.mSlots)
      .With("running", room.mRunning)
      .With("waiting", room.mWaiting)
      .With("slowness", room.mSlowness);
  }
}

server_room
local_executor::Room() const
{
  return mRoom.Room({ mLimiter.Running(), mLimiter.Waiting(), mLimiter.Rate() },
                    boot_clock::now());
}

// A limit that can't be read leaves the one before in force.
void
local_executor::OnServerReport(const server_report& aReport)
{
  if (!aReport.mIsRateLimitMalformed) {
    if (aReport.mRateLimit.has_value() != mReportedRate.has_value()) {
      log_event("rate_limit")
        .With("server", mClient.Server().mInstance)
        .With("per_second", aReport.mRateLimit.value_or(0))
        .With("state", aReport.mRateLimit ? "limited" : "unlimited");
    }
    mReportedRate = aReport.mRateLimit;
    UpdatePace();
  }
  OnServerLoad(aReport);
  if (aReport.mIsLeaving && !mClient.Server().mIsLeaving) {
    mOnLeaving(mClient.Server().mInstance);
  }
}

absl::Status
local_executor::CheckServer(const protocol::request_head& aHead,
                            instant aDeadline) const
{
  const bool is_here =
    mHasServer && mClient.Server().mService == aHead.service_name;
  if (!is_here) {
    return MakeError(absl::StatusCode::kFailedPrecondition,
                     "check_grant",
                     "",
                     "this node has no backend server of the service");
  }
  if (!mClient.IsServing()) {
    return MakeError(absl::StatusCode::kUnavailable,
                     kHandOverStep,
                     mClient.Server().mInstance,
                     "the backend server is shutting down or evacuated");
  }
  if (aDeadline >= mEndBy) {
    return MakeError(absl::StatusCode::kUnavailable,
                     kHandOverStep,
                     mClient.Server().mInstance,
                     "the node shuts down before the request's deadline");
  }
  return absl::OkStatus();
}

absl::StatusOr<backend_grant>
local_executor::CheckGrant(const protocol::request_head& aHead,
                           instant aDeadline) const
{
  const auto refuse = [](std::string_view aReason) {
    return MakeError(
      absl::StatusCode::kFailedPrecondition, "check_grant", "", aReason);
  };
  const auto snapshot = mRoutingState.Latest();
  if (absl::Status server = CheckServer(aHead, aDeadline); !server.ok()) {
    return server;
  }
  backend_grant grant;
  grant.mRunUntil = aDeadline;
  grant.mInstance = mClient.Server().mInstance;
  if (aHead.shard < 0) {
    if (snapshot->mIsDraining) {
      return refuse("the node is draining");
    }
    return grant;
  }
  const shard_id shard{ aHead.service_name, aHead.shard };
  const shard_entry* entry = snapshot->FindEntry(shard);
  const bool is_owner =
    snapshot->mIsMember && entry != nullptr && entry->mOwner == snapshot->mSelf;
  if (!is_owner) {
    return refuse("this node does not own the shard");
  }
  const auto activity = mShards.find(shard);
  const bool is_closing =
    activity != mShards.end() && activity->second.mOnDrained != nullptr;
  if (is_closing || snapshot->mClosedShards.contains(shard)) {
    return MakeError(absl::StatusCode::kUnavailable,
                     kHandOverStep,
                     "",
                     "the shard is being handed over");
  }
  const instant lease_end = mRoutingState.LeaseUntil();
  if (!mRoutingState.HoldsLease(snapshot->mSelf.incarnation)) {
    return refuse("the node holds no lease");
  }
  const bool is_not_held =
    mClient.Server().mKeepsGrants &&
    mRoutingState.HeldShards()->HeldUntil(shard) <= boot_clock::now();
  if (is_not_held) {
    return MakeError(absl::StatusCode::kUnavailable,
                     kHandOverStep,
                     mClient.Server().mInstance,
                     "the backend server does not hold the shard yet");
  }
  grant.mShard = ToText(shard);
  grant.mEpoch = entry->mEpoch;
  grant.mIncarnation = snapshot->mSelf.incarnation;
  grant.mNeedsLease = !mClient.Server().mKeepsGrants;
  const bool is_limited_by_lease = !mClient.Server().mChecksFences &&
                                   !mClient.Server().mKeepsGrants &&
                                   !aHead.await_ready;
  if (is_limited_by_lease) {
    grant.mRunUntil = std::min(aDeadline, lease_end);
  }
  return grant;
}

request_result
local_executor::Run(const protocol::request_head& aHead,
                    instant aDeadline,
                    body_source& aBody,
                    response_sink& aSink,
                    cancellation& aCancellation)
{
  ++mOutstanding;
  const instant arrived = boot_clock::now();
  request_result result;
  const auto grant = CheckGrant(aHead, aDeadline);
  auto refusal = CrashRefusal(mRoutingState, aHead);
  if (refusal) {
    result = *std::move(refusal);
  } else if (!grant.ok()) {
    result = Refused(grant.status());
  } else {
    result = RunInTurn(aHead, aDeadline, aBody, aSink, aCancellation);
  }
  if (result.mStep == kWithdrawnStep) {
    log_event("request_withdrawn")
      .With("request", aHead.attempt_id)
      .With("waited_us", (boot_clock::now() - arrived).count());
  }
  --mOutstanding;
  result.mOutstanding = mOutstanding;
  result.mRoom = Room();
  return result;
}

request_result
local_executor::RunInTurn(const protocol::request_head& aHead,
                          instant aDeadline,
                          body_source& aBody,
                          response_sink& aSink,
                          cancellation& aCancellation)
{
  const suspect_gate::permit turn = mSuspectGate.Enter([&] {
    return IsNearRefusal(mRoutingState, aHead) && !aCancellation.Check();
  });
  if (auto refusal = CrashRefusal(mRoutingState, aHead)) {
    return *std::move(refusal);
  }
  if (auto refusal = mCalls.FindRefusal(aHead)) {
    return *std::move(refusal);
  }
  const instant arrived = boot_clock::now();
  const instant target = arrived + duration(aHead.target_us);
  auto permit = mLimiter.Acquire({ aHead.key,
                                   aHead.route,
                                   aHead.priority,
                                   target,
                                   aDeadline,
                                   aHead.is_call,
                                   &aCancellation });
  const bool has_left = absl::IsCancelled(permit.status());
  CountDemand(aHead, permit.ok() || has_left, boot_clock::now() - arrived);
  if (!permit.ok()) {
    return TurnedAway(permit.status());
  }
  request_result result =
    RunAdmitted(aHead, aDeadline, aBody, aSink, aCancellation);
  if (result.mKind == outcome_kind::not_run) {
    permit->DiscardTime();
  }
  return result;
}

// Adds queueing time, and the typical run time of a rejected request, to the
// shard's load. Otherwise an overloaded shard would look like one that exactly
// fills the server.
void
local_executor::CountDemand(const protocol::request_head& aHead,
                            bool aWasAdmitted,
                            duration aWaited)
{
  if (aHead.shard < 0) {
    return;
  }
  const std::chrono::duration<double> demand =
    aWasAdmitted ? aWaited : mLimiter.TypicalTime();
  mShards[{ aHead.service_name, aHead.shard }].mBusySeconds += demand.count();
}

request_result
local_executor::RunAdmitted(const protocol::request_head& aHead,
                            instant aDeadline,
                            body_source& aBody,
                            response_sink& aSink,
                            cancellation& aCancellation)
{
  // A verdict may have come, or the grant been lost, while the request was
  // queued.
  if (auto refusal = CrashRefusal(mRoutingState, aHead)) {
    return *std::move(refusal);
  }
  const auto grant = CheckGrant(aHead, aDeadline);
  if (!grant.ok()) {
    return Refused(grant.status());
  }
  if (aCancellation.Check()) {
    return Withdrawn();
  }
  const shard_id shard{ aHead.service_name, aHead.shard };
  running_request counted(*this, *grant, shard, aCancellation);
  const std::string_view key = mIdempotencyKey.empty()
                                 ? std::string_view()
                                 : FieldValue(aHead.fields, mIdempotencyKey);
  if (key.empty()) {
    return RunOnce(aHead, *grant, aDeadline, aBody, aSink, aCancellation);
  }
  return RunWithKey(aHead, key, *grant, aDeadline, aBody, aSink, aCancellation);
}

request_result
local_executor::RunOnce(const protocol::request_head& aHead,
                        const backend_grant& aGrant,
                        instant aDeadline,
                        body_source& aBody,
                        response_sink& aSink,
                        cancellation& aCancellation)
{
  if (absl::Status ready = aSink.Ready(); !ready.ok()) {
    return MakeFailure(outcome_kind::not_run, "ready", "", Reason(ready));
  }
  const call_control::run run(mCalls, aHead);
  return mCrashGuard.Run(
    aHead, aCancellation, [&](const backend_client::before_send& aBeforeSend) {
      return mClient.Run(
        aHead, aGrant, aDeadline, aBody, aSink, aCancellation, aBeforeSend);
    });
}

request_result
local_executor::RunWithKey(const protocol::request_head& aHead,
                           std::string_view aIdempotencyKey,
                           const backend_grant& aGrant,
                           instant aDeadline,
                           body_source& aBody,
                           response_sink& aSink,
                           cancellation& aCancellation)
{
  const std::string key = WindowKey(aHead, aIdempotencyKey);
  const auto now = std::chrono::system_clock::now();
  key_history history;
  history.mCreatedAt = CreationTimeOfKey(aIdempotencyKey);
  if (aHead.shard >= 0) {
    shard_activity& activity = mShards[{ aHead.service_name, aHead.shard }];
    if (activity.mEpoch != aGrant.mEpoch) {
      activity.mEpoch = aGrant.mEpoch;
      activity.mOwnedSince = now;
    }
    history.mOwnedSince = activity.mOwnedSince;
    history.mIsFirstOwner = aGrant.mEpoch == 1;
  } else {
    // A service without keys has no owner that could know earlier uses of the
    // key at other nodes.
    history.mIsFirstOwner = true;
  }
  switch (mWindow.Begin(key, history, now)) {
    case idempotency_decision::kRun:
      break;
    case idempotency_decision::kRunning:
      return MakeFailure(
        outcome_kind::unknown,
        kIdempotencyStep,
        "",
        "a request with this Idempotency-Key is still running");
    case idempotency_decision::kIndeterminate:
      return MakeFailure(
        outcome_kind::unknown,
        kIdempotencyStep,
        "",
        "the Idempotency-Key may have been used at an earlier owner");
    case idempotency_decision::kRecorded:
      return Replay(*mWindow.Find(key), aHead.request_id, aSink);
  }
  recording_sink recorder(aSink);
  const request_result result =
    RunOnce(aHead, aGrant, aDeadline, aBody, recorder, aCancellation);
  if (result.mKind == outcome_kind::not_run) {
    mWindow.Forget(key);
  } else {
    mWindow.Finish(key, recorder.Take(result));
  }
  return result;
}

request_result
local_executor::Replay(const recorded_outcome& aRecorded,
                       std::int64_t aRequestId,
                       response_sink& aSink) const
{
  const bool has_answer =
    aRecorded.mResult.IsAnswered() && aRecorded.mIsComplete;
  if (!has_answer) {
    return MakeFailure(outcome_kind::unknown,
                       kIdempotencyStep,
                       "",
                       "the request with this Idempotency-Key has run, but its "
                       "response was not recorded");
  }
  // Copied because the window may evict the record while a slow caller reads.
  const recorded_outcome recorded = aRecorded;
  protocol::answer_head head = recorded.mHead;
  head.request_id = aRequestId;
  absl::Status forwarded = aSink.Head(head);
  if (forwarded.ok() && !recorded.mBody.empty()) {
    forwarded = aSink.Body(recorded.mBody);
  }
  if (!forwarded.ok()) {
    return MakeFailure(outcome_kind::broken, "answer", "", Reason(forwarded));
  }
  return Answered();
}

bool
local_executor::Close(const shard_id& aShard, std::function<void()> aOnDrained)
{
  shard_activity& activity = mShards[aShard];
  if (activity.mRunning == 0) {
    return true;
  }
  activity.mOnDrained = std::move(aOnDrained);
  return false;
}

void
local_executor::CancelUnleased()
{
  for (const auto& [request, incarnation] : mLeased) {
    if (!mRoutingState.HoldsLease(incarnation)) {
      request->Cancel();
    }
  }
}

traffic_report
local_executor::TakeReport()
{
  const instant now = boot_clock::now();
  const std::chrono::duration<double> since = now - mReportedAt;
  mReportedAt = now;
  traffic_report report;
  report.mOutstanding = mOutstanding;
  report.mTypicalRunTime = mLimiter.TypicalTime();
  for (auto& [shard, activity] : mShards) {
    if (activity.mBusySeconds > 0) {
      report.mShardLoads[shard] = activity.mBusySeconds / since.count();
    }
    activity.mBusySeconds = 0;
  }
  return report;
}

} // namespace plantaindale
