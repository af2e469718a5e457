// The HTTP requests of node_daemon: of operators, and of the backend server.
#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/node/node_daemon.h"
#include "plantaindale/observe/crash_dump.h"
#include "plantaindale/observe/state_dump.h"
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// A server waits a second for a confirmation.
constexpr std::chrono::milliseconds kLeavingStoreTimeout{ 600 };
constexpr std::chrono::milliseconds kLeavingPollInterval{ 5 };

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

http_response
BadRequest(std::string_view aReason)
{
  return { 400,
           json::serialize(json::object{ { "error", std::string(aReason) } }) };
}

} // namespace

http_response
node_daemon::Handle(const http_server_request& aRequest)
{
  const std::string path(aRequest.Path());
  const auto notice = mDeployment.mServers->ParseNotice(aRequest);
  if (notice.ok()) {
    return HandleNotice(*notice);
  }
  if (absl::IsInvalidArgument(notice.status())) {
    log_event("notice_refused", log_level::kWarning)
      .With("reason", Reason(notice.status()));
    return BadRequest(Reason(notice.status()));
  }
  if (path == "/dump") {
    json::object dump =
      DumpControlState(mMachine, boot_clock::now()).as_object();
    dump["transport"] = DumpTransport(mTransport.Counts());
    dump["work"] = DumpWork(mWork, mMonitor);
    dump["traffic"] = DumpTrafficState(InspectTraffic());
    return { 200, PrettyPrint(dump) };
  }
  if (path == "/metrics") {
    return { 200, Metrics() };
  }
  if (path == "/drain" && aRequest.mMethod == "POST") {
    Dispatch(drain_requested{});
    return { 200, "{}" };
  }
  if (path == "/undrain" && aRequest.mMethod == "POST") {
    Dispatch(undrain_requested{});
    return { 200, "{}" };
  }
  if (path == "/crashes") {
    return { 200,
             PrettyPrint(DumpCrashes(mMachine.CrashControl().Ledger(),
                                     boot_clock::now())) };
  }
  if (path == "/crashes/lift" && aRequest.mMethod == "POST") {
    return HandleLift(aRequest);
  }
  if (path == "/move" && aRequest.mMethod == "POST") {
    return HandleMove(aRequest);
  }
  return { 404, "{\"error\":\"no such path\"}" };
}

http_response
node_daemon::HandleNotice(const server_notice& aNotice)
{
  server_notice notice = aNotice;
  notice.mReceivedAt = UnixMs();
  const absl::Status accepted = mPresence.OnNotice(notice, boot_clock::now());
  if (!accepted.ok()) {
    log_event("notice_refused", log_level::kWarning)
      .With("reason", Reason(accepted));
  }
  if (absl::IsInvalidArgument(accepted)) {
    return BadRequest(Reason(accepted));
  }
  if (accepted.ok() && notice.mKind == server_notice::kind::kHeartbeat) {
    const service_configuration* service =
      mMachine.View().Configuration().Find(notice.mServer.mService);
    mColdPace.OnHeartbeat(
      absl::StrCat(notice.mServer.mInstance, " ", notice.mServer.mStartedAt),
      notice.mColdFor,
      service == nullptr ? duration(0) : duration(service->mColdStart),
      boot_clock::now());
    PublishColdUntil();
  }
  PublishServer();
  const bool says_leaving =
    notice.mKind == server_notice::kind::kLeaving || notice.mServer.mIsLeaving;
  if (accepted.ok() && says_leaving) {
    AwaitLeavingStored(notice.mServer.mInstance);
  }
  return { 200, "{}" };
}

bool
node_daemon::IsLeavingStored(std::string_view aInstance) const
{
  const node_record* record =
    mMachine.View().FindNode(mMachine.LocalMembership().Identity());
  if (record == nullptr) {
    return false;
  }
  const bool is_recorded =
    record->mServer && record->mServer->mInstance == aInstance;
  return !is_recorded || record->mServer->mIsLeaving;
}

void
node_daemon::AwaitLeavingStored(std::string_view aInstance) const
{
  const instant end = boot_clock::now() + kLeavingStoreTimeout;
  while (!IsLeavingStored(aInstance)) {
    if (boot_clock::now() >= end) {
      log_event("leaving_not_stored", log_level::kWarning)
        .With("instance", aInstance)
        .With("waited_us", duration(kLeavingStoreTimeout).count());
      return;
    }
    boost::this_fiber::sleep_for(kLeavingPollInterval);
  }
}

http_response
node_daemon::HandleReadiness(const http_server_request& aRequest)
{
  if (aRequest.Path() != mDeployment.mServers->ReadinessPath()) {
    return { 404, "{\"error\":\"no such path\"}" };
  }
  const bool is_ready = mMachine.View().Configuration().mNumber > 0 &&
                        mMachine.KnowsEvacuations() && !mIsStopping &&
                        !mMachine.LocalMembership().IsDraining() &&
                        !mMachine.IsFinished();
  return { is_ready ? 200 : 503, "{}" };
}

http_response
node_daemon::HandleMetrics(const http_server_request& aRequest)
{
  if (aRequest.Path() != "/metrics") {
    return { 404, "{\"error\":\"no such path\"}" };
  }
  return { 200, Metrics() };
}

std::string
node_daemon::Metrics()
{
  const duration answer_age = boot_clock::now() - mPlatformAnsweredAt;
  return InspectTraffic().mPrometheus + mWork.ToPrometheus("control") +
         mMonitor.ToPrometheus() + CrashMetrics(mMachine.CrashControl()) +
         absl::StrCat("plantaindale_configuration_number ",
                      mMachine.View().Configuration().mNumber,
                      "\nplantaindale_evacuated_domains ",
                      mMachine.View().Evacuations().Domains().size(),
                      "\nplantaindale_platform_answer_age_seconds ",
                      std::chrono::duration<double>(answer_age).count(),
                      "\n");
}

http_response
node_daemon::HandleLift(const http_server_request& aRequest)
{
  const auto request = FingerprintFromText(aRequest.Query("request"));
  if (!request ||
      !mMachine.CrashControl().Ledger().Suspects().contains(*request)) {
    return BadRequest("no backend server is known to have ended under it");
  }
  Dispatch(refusal_lifted{ *request });
  return { 200, "{}" };
}

http_response
node_daemon::HandleMove(const http_server_request& aRequest)
{
  const shard_id shard{ std::string(aRequest.Query("service")),
                        std::atoi(
                          std::string(aRequest.Query("shard")).c_str()) };
  const node_record* target = mMachine.View().FindNode(aRequest.Query("to"));
  if (target == nullptr || !target->AcceptsWork(shard.mService)) {
    return BadRequest(
      absl::StrCat("node ",
                   std::string(aRequest.Query("to")),
                   " is unknown or does not accept work for service ",
                   shard.mService));
  }
  protocol::move_request request;
  request.service_name = shard.mService;
  request.shard = shard.mIndex;
  request.target = target->mIdentity;
  control_message message;
  message.__set_move(request);
  Dispatch(message_received{ message });
  return { 200, "{}" };
}

} // namespace plantaindale
