#include "plantaindale/request/caller_problem.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

// In seconds; about the time until a slot becomes free.
constexpr std::string_view kRetryAfter = "0.1";
constexpr std::chrono::seconds kMaxRetryAfter{ 600 };

std::string
RetryAfterOf(const caller_problem& aProblem)
{
  if (aProblem.mRetryAfter <= duration(0)) {
    return std::string(kRetryAfter);
  }
  const auto centiseconds =
    std::chrono::floor<std::chrono::duration<std::int64_t, std::centi>>(
      aProblem.mRetryAfter);
  return absl::StrCat(static_cast<double>(centiseconds.count()) / 100);
}

} // namespace

caller_problem
NotRunProblem(std::string aDetail)
{
  return { http::status::service_unavailable,
           "The request was not run",
           std::move(aDetail),
           "not-run",
           true };
}

caller_problem
ProblemOf(const request_result& aResult)
{
  std::string detail = absl::StrCat("step=", aResult.mStep);
  if (!aResult.mPeer.empty()) {
    absl::StrAppend(&detail, " peer=", aResult.mPeer);
  }
  absl::StrAppend(&detail, " ", aResult.mReason);
  if (aResult.mKind == outcome_kind::not_run) {
    caller_problem problem = NotRunProblem(std::move(detail));
    problem.mRetryAfter =
      aResult.mRefusedFor > duration(0)
        ? std::min(std::chrono::ceil<std::chrono::seconds>(aResult.mRefusedFor),
                   kMaxRetryAfter)
        : aResult.mReturnIn;
    return problem;
  }
  return { http::status::gateway_timeout,
           "Whether the request was run is not known",
           detail,
           "unknown",
           false };
}

http::response<http::string_body>
MakeResponse(const caller_problem& aProblem,
             const http_header_names& aHeaderNames)
{
  http::response<http::string_body> answer(aProblem.mStatus, 11);
  answer.set(http::field::content_type, "application/problem+json");
  answer.set(aHeaderNames.mOutcome, aProblem.mOutcome);
  if (aProblem.mMayRetryLater) {
    answer.set(http::field::retry_after, RetryAfterOf(aProblem));
  }
  answer.body() = boost::json::serialize(
    boost::json::object{ { "type", "about:blank" },
                         { "title", aProblem.mTitle },
                         { "status", static_cast<int>(aProblem.mStatus) },
                         { "detail", aProblem.mDetail },
                         { "outcome", aProblem.mOutcome } });
  return answer;
}

} // namespace plantaindale
