#include "plantaindale/request/crash_refusal.h"

#include "plantaindale/base/log_event.h"
#include "plantaindale/crashes/crash_suspect.h"
#include "plantaindale/crashes/request_fingerprint.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

std::optional<request_result>
CrashRefusal(const routing_state& aRoutingState,
             const protocol::request_head& aHead)
{
  const auto fingerprint = FingerprintFromBytes(aHead.fingerprint);
  if (!fingerprint) {
    return std::nullopt;
  }
  const auto verdicts = aRoutingState.CrashVerdicts();
  const instant now = boot_clock::now();
  if (!verdicts->IsRefused(*fingerprint, now)) {
    return std::nullopt;
  }
  request_result refusal =
    MakeFailure(outcome_kind::not_run,
                kCrashesServersStep,
                "",
                "backend servers have ended while they ran this request");
  refusal.mRefusedFor = verdicts->Find(*fingerprint)->mRefusedUntil - now;
  return refusal;
}

bool
IsNearRefusal(const routing_state& aRoutingState,
              const protocol::request_head& aHead)
{
  const auto fingerprint = FingerprintFromBytes(aHead.fingerprint);
  if (!fingerprint) {
    return false;
  }
  const auto verdicts = aRoutingState.CrashVerdicts();
  const crash_verdicts::standing* standing = verdicts->Find(*fingerprint);
  return standing != nullptr &&
         standing->mEnds + 1 >= crash_suspect::kEndsToRefuse;
}

// The logger limits the lines of an event, so callers that come often don't
// fill the log.
void
LogCrashRefusal(const protocol::request_head& aHead,
                const request_result& aResult)
{
  const auto fingerprint = FingerprintFromBytes(aHead.fingerprint);
  log_event("crash_refusal", log_level::kWarning)
    .With("request", aHead.attempt_id)
    .With("service", aHead.service_name)
    .With("method", aHead.method)
    .With("fingerprint", fingerprint ? ToText(*fingerprint) : "")
    .With("peer", aResult.mPeer)
    .With("refused_for_us", aResult.mRefusedFor.count());
}

} // namespace plantaindale
