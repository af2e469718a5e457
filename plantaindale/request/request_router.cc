#include "plantaindale/request/request_router.h"

#include <algorithm>
#include <array>

#include "plantaindale/base/log_event.h"
#include "plantaindale/crashes/request_fingerprint.h"
#include "plantaindale/limits/retry_after.h"
#include "plantaindale/placement/unkeyed_choice.h"
#include "plantaindale/request/crash_refusal.h"
#include "plantaindale/request/try_history.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {
namespace {

constexpr std::chrono::milliseconds kInitialBackoff{ 10 };
constexpr std::chrono::milliseconds kMaxBackoff{ 160 };
constexpr duration kAvoidAfterFailure = std::chrono::milliseconds(500);
// Only a random sample of remote nodes is compared. Otherwise all routers would
// pick the node with the lowest stale load report at the same time.
constexpr std::size_t kRemoteDomainCandidates = 2;

// A refusal by another node doesn't tell how long it lasts; its verdict is
// known here within this time.
constexpr duration kMinRefusal = std::chrono::seconds(1);

// The backend server's time ends this long before the deadline, at most, so
// that what it then answers is still passed on.
constexpr duration kResultTime = std::chrono::milliseconds(20);
// For a shorter time it is one part in this many.
constexpr int kResultTimeParts = 40;

// Records whether the response to the caller has begun.
class progress_sink : public response_sink
{
public:
  explicit progress_sink(response_sink& aNext)
    : mNext(aNext)
  {
  }
  absl::Status Ready() override
  {
    mHasBegun = true;
    return mNext.Ready();
  }
  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mHasBegun = true;
    return mNext.Head(aHead);
  }
  absl::Status Body(std::span<const char> aBytes) override
  {
    return mNext.Body(aBytes);
  }
  bool HasBegun() const { return mHasBegun; }

private:
  response_sink& mNext;
  bool mHasBegun = false;
};

// Sleeps for the time, or until the request is cancelled.
void
SleepWhileAwaited(cancellation& aCancellation, duration aTime)
{
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable cancelled;
  const cancellation::action wake(aCancellation,
                                  [&] { cancelled.notify_one(); });
  std::unique_lock<boost::fibers::mutex> lock(mutex);
  cancelled.wait_for(lock, aTime, [&] { return aCancellation.IsCancelled(); });
}

} // namespace

request_router::request_router(const routing_state& aRoutingState,
                               local_executor& aExecutor,
                               peer_client& aPeers,
                               retry_limits aRetries,
                               std::uint64_t aSeed)
  : mRoutingState(aRoutingState)
  , mExecutor(aExecutor)
  , mPeers(aPeers)
  , mRetryLimits(aRetries)
  , mFleetReserve(aRetries.mReserve)
  , mRandom(aSeed)
{
}

retry_budget&
request_router::BudgetOf(const std::string& aService)
{
  return mBudgets.try_emplace(aService, mRetryLimits).first->second;
}

void
request_router::ShareReserve(
  const std::shared_ptr<const routing_snapshot>& aSnapshot)
{
  if (aSnapshot->mNodes == mReserveNodes) {
    return;
  }
  mReserveNodes = aSnapshot->mNodes;
  const auto active =
    std::count_if(mReserveNodes->begin(),
                  mReserveNodes->end(),
                  [](const auto& aNode) { return aNode.second.IsActive(); });
  mRetryLimits.mReserve =
    mFleetReserve / static_cast<double>(std::max<std::ptrdiff_t>(active, 1));
  for (auto& [service, budget] : mBudgets) {
    budget.SetReserve(mRetryLimits.mReserve);
  }
}

bool
request_router::IsCall(std::string_view aAttemptId) const
{
  return mExecutor.Calls().IsCall(aAttemptId);
}

double
request_router::RetriesLeft() const
{
  double least = mRetryLimits.mReserve;
  for (const auto& [service, budget] : mBudgets) {
    least = std::min(least, budget.Left());
  }
  return least;
}

request_result
request_router::Run(routed_request& aRequest,
                    std::string_view aSmallBody,
                    body_source& aBody,
                    response_sink& aSink,
                    cancellation& aCancellation)
{
  try_history tries(aRequest.mIsIdempotent);
  call_control& calls = mExecutor.Calls();
  if (aRequest.mHead.is_call) {
    calls.OnCall(aRequest.mHead);
  }
  request_result result =
    RunTries(aRequest, aSmallBody, aBody, aSink, aCancellation, tries);
  if (aRequest.mHead.is_call) {
    calls.OnCallEnd(aRequest.mHead,
                    result,
                    boot_clock::now() + kResultTime >= aRequest.mDeadline);
  }
  tries.LogPromise(aRequest.mHead, result);
  if (result.mRoomIn > duration(0)) {
    std::uniform_real_distribution<double> spread(0, 1);
    result.mReturnIn =
      RetryAfter(result.mRoomIn,
                 aRequest.mCallerWaitsUntil - boot_clock::now(),
                 spread(mRandom));
  }
  return result;
}

request_result
request_router::RunTries(routed_request& aRequest,
                         std::string_view aSmallBody,
                         body_source& aBody,
                         response_sink& aSink,
                         cancellation& aCancellation,
                         try_history& aTries)
{
  aRequest.mHead.fingerprint =
    ToBytes(FingerprintOf(aRequest.mHead, aRequest.mCaller, aSmallBody));
  ShareReserve(mRoutingState.Latest());
  BudgetOf(aRequest.mHead.service_name).OnRequest();
  progress_sink sink(aSink);
  std::chrono::milliseconds backoff = kInitialBackoff;
  request_result in_doubt; // last attempt with an unknown outcome
  for (;;) {
    request_result result = MakeFailure(
      outcome_kind::not_run, "route", "", "no active node serves this request");
    const auto snapshot = mRoutingState.Latest();
    const node_record* node = ChooseNode(*snapshot, aRequest);
    const auto refusal = CrashRefusal(mRoutingState, aRequest.mHead);
    if (refusal) {
      result = *refusal;
    } else if (node != nullptr) {
      result = Attempt(*node, aRequest, aSmallBody, aBody, sink, aCancellation);
    } else if (snapshot->IsEvacuated(aRequest.mHead.service_name)) {
      result = MakeFailure(
        outcome_kind::not_run,
        kEvacuatedStep,
        "",
        "all backend servers of the service are in evacuated failure domains");
      result.mRefusedFor = kMinRefusal;
    }
    if (result.IsAnswered()) {
      return result;
    }
    aTries.Add(result);
    const bool is_refused = result.mStep == kCrashesServersStep;
    const bool is_evacuated = result.mStep == kEvacuatedStep;
    if (is_refused) {
      result.mRefusedFor = std::max(result.mRefusedFor, kMinRefusal);
      LogCrashRefusal(aRequest.mHead, result);
    } else if (node != nullptr) {
      LogAttempt(*snapshot, *node, aRequest.mHead, result);
    }
    if (result.mKind == outcome_kind::unknown) {
      in_doubt = result;
    } else if (in_doubt.mKind == outcome_kind::unknown) {
      result = in_doubt;
    }
    if (is_refused || is_evacuated) {
      return result;
    }
    // Waiting for an owner adds no load, so it takes nothing from the budget.
    const bool is_waiting =
      node == nullptr || (result.mStep == kHandOverStep && !sink.HasBegun());
    const bool may_continue =
      is_waiting || MayRetry(result, aRequest, sink.HasBegun(), aTries.Sent());
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2,
                                                       backoff.count());
    const std::chrono::milliseconds wait(jitter(mRandom));
    if (!may_continue || aCancellation.Check() ||
        boot_clock::now() + wait >= aRequest.mDeadline) {
      return result;
    }
    SleepWhileAwaited(aCancellation, wait);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

// Logs one line per failed attempt.
void
request_router::LogAttempt(const routing_snapshot& aSnapshot,
                           const node_record& aNode,
                           const protocol::request_head& aHead,
                           const request_result& aResult)
{
  const shard_entry* entry =
    aHead.shard < 0 ? nullptr
                    : aSnapshot.FindEntry({ aHead.service_name, aHead.shard });
  log_event("attempt_failed")
    .With("request", aHead.attempt_id)
    .With("service", aHead.service_name)
    .With("shard", aHead.shard)
    .With("node", ToText(aNode.mIdentity))
    .With("epoch", entry == nullptr ? 0 : entry->mEpoch)
    .With("config", aSnapshot.mConfiguration->mNumber)
    .With("outcome", ToText(aResult.mKind))
    .With("step", aResult.mStep)
    .With("sent", aResult.mWasSent ? "yes" : "no")
    .With("deadline_us", aHead.deadline_us)
    .With("reason", aResult.mReason);
}

bool
request_router::MayRetry(const request_result& aResult,
                         const routed_request& aRequest,
                         bool aHasBegun,
                         int aSent)
{
  if (aHasBegun || aSent >= aRequest.mMostServers) {
    return false;
  }
  // Another node would decide by the same shortage of the called service.
  const bool is_refused_for_calls = aResult.mStep == kAdmitCallsStep;
  const bool is_refused_by_owner =
    aRequest.mIsKeyed && aResult.mStep == kAdmitStep;
  if (is_refused_by_owner || is_refused_for_calls) {
    return false;
  }
  const bool was_not_run = aResult.mKind == outcome_kind::not_run;
  if (was_not_run && aSent == 0) {
    return true; // no backend server has spent work on it
  }
  const bool may_repeat =
    aResult.mKind == outcome_kind::unknown && aRequest.mIsIdempotent &&
    aResult.mStep != kIdempotencyStep && aResult.mStep != kServerEndedStep;
  return (was_not_run || may_repeat) &&
         BudgetOf(aRequest.mHead.service_name).TryTakeRetry();
}

const node_record*
request_router::ChooseNode(const routing_snapshot& aSnapshot,
                           const routed_request& aRequest)
{
  if (!aRequest.mIsKeyed) {
    return ChooseUnkeyed(aSnapshot, aRequest.mHead.service_name);
  }
  const shard_entry* entry =
    aSnapshot.FindEntry({ aRequest.mHead.service_name, aRequest.mHead.shard });
  return entry == nullptr ? nullptr : aSnapshot.FindActing(entry->mOwner);
}

const std::vector<request_router::unkeyed_node>&
request_router::UnkeyedNodes(const routing_snapshot& aSnapshot,
                             const std::string& aService)
{
  if (mUnkeyedRecords != aSnapshot.mNodes) {
    mUnkeyedRecords = aSnapshot.mNodes;
    mUnkeyedNodes.clear();
  }
  const auto [found, is_new] = mUnkeyedNodes.try_emplace(aService);
  std::vector<unkeyed_node>& nodes = found->second;
  if (!is_new) {
    return nodes;
  }
  for (const auto& [name, record] : *mUnkeyedRecords) {
    if (record.AcceptsWork(aService)) {
      const bool is_local_domain =
        record.mFailureDomain == aSnapshot.mFailureDomain;
      nodes.push_back({ &record, &mLoads[name], is_local_domain });
    }
  }
  return nodes;
}

const node_record*
request_router::ChooseUnkeyed(const routing_snapshot& aSnapshot,
                              const std::string& aService)
{
  std::vector<const unkeyed_node*> local_nodes;
  std::vector<const unkeyed_node*> remote_nodes;
  std::vector<const unkeyed_node*> avoided;
  const instant now = boot_clock::now();
  for (const unkeyed_node& node : UnkeyedNodes(aSnapshot, aService)) {
    const bool avoid = node.mLoad->mAvoidUntil > now;
    (avoid                 ? avoided
     : node.mIsLocalDomain ? local_nodes
                           : remote_nodes)
      .push_back(&node);
  }
  std::vector<const unkeyed_node*> nodes;
  std::sample(remote_nodes.begin(),
              remote_nodes.end(),
              std::back_inserter(nodes),
              kRemoteDomainCandidates,
              mRandom);
  nodes.insert(nodes.end(), local_nodes.begin(), local_nodes.end());
  if (nodes.empty()) {
    nodes = std::move(avoided);
  }
  if (nodes.empty()) {
    return nullptr;
  }
  std::shuffle(nodes.begin(), nodes.end(), mRandom);
  std::vector<unkeyed_candidate> candidates;
  candidates.reserve(nodes.size());
  for (const unkeyed_node* node : nodes) {
    const node_load& load = *node->mLoad;
    candidates.push_back({ node->mRecord->mServer->mSlots,
                           load.mInFlightRequests,
                           load.mReportedOutstanding,
                           load.mSentSinceReport,
                           load.mReportedAt,
                           load.mRoom,
                           !node->mIsLocalDomain });
  }
  return nodes[plantaindale::ChooseUnkeyed(candidates, now)]->mRecord;
}

request_result
request_router::Attempt(const node_record& aNode,
                        routed_request& aRequest,
                        std::string_view aSmallBody,
                        body_source& aBody,
                        response_sink& aSink,
                        cancellation& aCancellation)
{
  protocol::request_head& head = aRequest.mHead;
  const instant now = boot_clock::now();
  if (now >= aRequest.mDeadline) {
    return MakeFailure(outcome_kind::not_run,
                       "route",
                       "",
                       "deadline exceeded before the attempt started");
  }
  if (aCancellation.Check()) {
    return Withdrawn();
  }
  const duration left = aRequest.mDeadline - now;
  const duration run_time =
    left - std::min(kResultTime, left / kResultTimeParts);
  head.request_id = mNextRequestId++;
  head.deadline_us = run_time.count();
  head.target_us = (aRequest.mTarget - now).count();
  memory_body small(aSmallBody);
  body_source& body = head.await_ready ? aBody : small;
  // Copies, because the node record may be replaced while the request runs.
  const node_identity identity = aNode.mIdentity;
  const std::string& name = identity.name;
  const std::string address = aNode.mAddresses.mPeer;
  const int slots = aNode.mServer ? aNode.mServer->mSlots : 0;
  const bool is_here = aNode.mIdentity == mRoutingState.Latest()->mSelf;
  cancellation attempt(&aCancellation);
  ++mLoads[name].mInFlightRequests;
  ++mLoads[name].mSentSinceReport;
  request_result result;
  if (is_here) {
    result = mExecutor.Run(head, now + run_time, body, aSink, attempt);
  } else {
    if (aRequest.mIsKeyed) {
      mAttempts[&attempt] = { identity, address };
    }
    result =
      mPeers.Run(address, head, aRequest.mDeadline, body, aSink, attempt);
    mAttempts.erase(&attempt);
  }
  node_load& load = mLoads[name];
  --load.mInFlightRequests;
  if (result.mOutstanding >= 0) {
    load.mReportedOutstanding = result.mOutstanding;
    load.mReportedAt = boot_clock::now();
    load.mSentSinceReport = 0;
    load.mRoom = result.mRoom;
  }
  result.mSlots = slots;
  const bool is_of_the_node =
    result.mStep != kCrashesServersStep && result.mStep != kAdmitCallsStep;
  if (!result.IsAnswered() && is_of_the_node) {
    load.mAvoidUntil = boot_clock::now() + kAvoidAfterFailure;
  }
  return result;
}

void
request_router::CancelLostAttempts()
{
  if (mAttempts.empty()) {
    return;
  }
  const auto snapshot = mRoutingState.Latest();
  for (const auto& [attempt, target] : mAttempts) {
    const bool has_ended = snapshot->HasEnded(target.mNode, target.mPeer);
    if (has_ended && !attempt->IsCancelled()) {
      attempt->Cancel();
    }
  }
}

} // namespace plantaindale
