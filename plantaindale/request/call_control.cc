#include "plantaindale/request/call_control.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/log_event.h"

namespace plantaindale {
namespace {

constexpr duration kLogInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxCountedServices = 16;

// A server that fails by itself, or refuses though it has free slots, says
// nothing of the room; nor does a shard that is moving.
call_end
EndOf(const request_result& aResult, bool aIsExpired)
{
  const bool is_known = aResult.mOutstanding >= 0 && aResult.mSlots > 0;
  const bool had_free_slot = is_known && aResult.mOutstanding < aResult.mSlots;
  if (aResult.IsAnswered()) {
    return had_free_slot ? call_end::kHadRoom : call_end::kServed;
  }
  const bool was_rejected =
    aResult.mKind == outcome_kind::not_run &&
    (aResult.mStep == kAdmitStep || aResult.mStep == kAdmitCallsStep);
  const bool was_full = aResult.mKind == outcome_kind::not_run &&
                        aResult.mStep == kServerRefusedStep && is_known &&
                        aResult.mOutstanding + 1 >= aResult.mSlots;
  return was_rejected || was_full || aIsExpired ? call_end::kRefused
                                                : call_end::kOther;
}

} // namespace

call_control::run::run(call_control& aControl,
                       const protocol::request_head& aHead)
  : mControl(aControl)
{
  const bool is_followed =
    mControl.mCallsNameParents &&
    mControl.mProfile.Begin(aHead.attempt_id, aHead.route);
  if (is_followed) {
    mId = aHead.attempt_id;
  }
}

call_control::run::~run()
{
  if (!mId.empty()) {
    mControl.mProfile.End(mId);
  }
}

void
call_control::OnCall(const protocol::request_head& aHead)
{
  ++mCalls;
  mProfile.OnCall(aHead.attempt_id, aHead.service_name);
}

void
call_control::OnCallEnd(const protocol::request_head& aHead,
                        const request_result& aResult,
                        bool aIsExpired)
{
  const call_end end = EndOf(aResult, aIsExpired);
  mRefusedCalls += end == call_end::kRefused ? 1 : 0;
  mAdmission.OnCallEnd(aHead.service_name, end, boot_clock::now());
}

// Calls are never refused for their own calls: the work of the request that
// made them would be lost too.
std::optional<request_result>
call_control::FindRefusal(const protocol::request_head& aHead)
{
  const std::span<const expected_call> calls =
    mProfile.CallsPerRun(aHead.route);
  if (calls.empty() || aHead.is_call) {
    return std::nullopt;
  }
  const instant now = boot_clock::now();
  const auto shortage = mAdmission.FindShortage({ aHead.priority, calls }, now);
  if (!shortage) {
    return std::nullopt;
  }
  LogRefusal(aHead, *shortage, now);
  return MakeFailure(
    outcome_kind::not_run,
    kAdmitCallsStep,
    "",
    absl::StrCat("its calls would find no room at ", shortage->mService));
}

void
call_control::LogRefusal(const protocol::request_head& aHead,
                         const call_shortage& aShortage,
                         instant aNow)
{
  const bool is_counted = mRefusedRuns.contains(aShortage.mService) ||
                          mRefusedRuns.size() < kMaxCountedServices;
  if (is_counted) {
    ++mRefusedRuns[aShortage.mService];
  }
  ++mRefusedSinceLog;
  if (mLoggedAt != kNever && aNow < mLoggedAt + kLogInterval) {
    return;
  }
  log_event("calls_throttled", log_level::kWarning)
    .With("request", aHead.attempt_id)
    .With("service", aHead.service_name)
    .With("route", aHead.route)
    .With("priority", aHead.priority)
    .With("called", aShortage.mService)
    .With("calls_per_run", aShortage.mCallsPerRun)
    .With("share", aShortage.mShare)
    .With("refused_share", aShortage.mRefusedShare)
    .With("evidence_age_us", (aNow - aShortage.mSeenAt).count())
    .With("room_in_us", aShortage.mRoomIn.count())
    .With("refused_runs", mRefusedSinceLog);
  mLoggedAt = aNow;
  mRefusedSinceLog = 0;
}

std::string
call_control::ToPrometheus() const
{
  std::string text =
    absl::StrCat("# TYPE plantaindale_server_calls_total counter\n",
                 "plantaindale_server_calls_total ",
                 mCalls,
                 "\n# TYPE plantaindale_server_calls_refused_total counter\n",
                 "plantaindale_server_calls_refused_total ",
                 mRefusedCalls,
                 "\n# TYPE plantaindale_calls_throttled_total counter\n");
  for (const auto& [service, count] : mRefusedRuns) {
    absl::StrAppend(&text,
                    "plantaindale_calls_throttled_total{called=\"",
                    service,
                    "\"} ",
                    count,
                    "\n");
  }
  absl::StrAppend(&text, "# TYPE plantaindale_calls_share gauge\n");
  mAdmission.ForEachService([&](const std::string& aService, double aShare) {
    absl::StrAppend(&text,
                    "plantaindale_calls_share{called=\"",
                    aService,
                    "\"} ",
                    aShare,
                    "\n");
  });
  return text;
}

} // namespace plantaindale
