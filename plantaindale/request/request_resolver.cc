#include "plantaindale/request/request_resolver.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/key_finder.h"

namespace plantaindale {
namespace {

// Bodies up to this size are kept in memory for retries and sent before the
// owner has admitted the request. Sending larger ones early would waste the
// links of small VMs on requests that are refused.
constexpr std::int64_t kSmallBodyBytes = 8 * 1024;

// The final response is sent this long before the caller gives up, at most: one
// that comes later costs the caller the connection, with all responses behind
// it.
constexpr std::chrono::milliseconds kResponseTime{ 30 };
// For shorter deadlines it is one part in this many.
constexpr int kResponseTimeParts = 20;

std::optional<caller_problem>
ResolveKey(const service_configuration& aService, routed_request& aRequest)
{
  if (!aService.mKey) {
    return std::nullopt;
  }
  protocol::request_head& head = aRequest.mHead;
  const auto refuse = [](const absl::Status& aStatus) {
    return caller_problem{ http::status::bad_request,
                           "The request has no key",
                           std::string(Reason(aStatus)) };
  };
  auto key = FindKey(*aService.mKey, head);
  if (!key.ok()) {
    return refuse(key.status());
  }
  head.key = *std::move(key);
  const auto shard = FindShard(aService, head.key);
  if (!shard.ok()) {
    return refuse(shard.status());
  }
  head.shard = *shard;
  aRequest.mIsKeyed = true;
  return std::nullopt;
}

// The lower of the two limits; 0 means no limit.
std::int64_t
MaxBodyBytes(const caller_limits& aLimits,
             const service_configuration& aService)
{
  if (aLimits.mBodyBytes == 0 || aService.mLargestBody == 0) {
    return std::max(aLimits.mBodyBytes, aService.mLargestBody);
  }
  return std::min(aLimits.mBodyBytes, aService.mLargestBody);
}

std::optional<caller_problem>
ResolveBody(caller_parser& aParser,
            std::int64_t aMaxBytes,
            protocol::request_head& aHead)
{
  const auto length = aParser.content_length();
  aHead.body_bytes = 0;
  if (aParser.chunked()) {
    aHead.body_bytes = -1;
  } else if (length) {
    aHead.body_bytes = static_cast<std::int64_t>(*length);
  }
  const bool is_too_large = aMaxBytes > 0 && aHead.body_bytes > aMaxBytes;
  if (is_too_large) {
    return caller_problem{ http::status::payload_too_large,
                           "The body is too large",
                           absl::StrCat("step=receive_head expected at most ",
                                        aMaxBytes,
                                        " bytes, Content-Length is ",
                                        aHead.body_bytes) };
  }
  if (aMaxBytes > 0) {
    aParser.body_limit(static_cast<std::uint64_t>(aMaxBytes));
  }
  aHead.await_ready =
    aHead.body_bytes < 0 || aHead.body_bytes > kSmallBodyBytes;
  return std::nullopt;
}

} // namespace

request_resolver::request_resolver(const http_header_names& aHeaderNames,
                                   std::string aLocalService)
  : mHeaderNames(aHeaderNames)
  , mLocalService(std::move(aLocalService))
  , mRandom(std::random_device()())
{
}

std::optional<caller_problem>
request_resolver::Resolve(const routing_snapshot& aSnapshot,
                          caller_parser& aParser,
                          instant aArrivedAt,
                          routed_request& aRequest)
{
  const auto& message = aParser.get();
  if (!mHeaderNames.mAttemptId.empty()) {
    aRequest.mHead.attempt_id = message[mHeaderNames.mAttemptId];
  }
  const std::string_view target = message.target();
  if (!target.starts_with('/')) {
    return caller_problem{ http::status::bad_request,
                           "The request can't be read",
                           "step=route expected a target that starts with /" };
  }
  const cluster_configuration& configuration = *aSnapshot.mConfiguration;
  if (configuration.mNumber == 0) {
    return caller_problem{ http::status::service_unavailable,
                           "The request was not run",
                           "step=route no configuration received yet",
                           "not-run",
                           true };
  }
  const route_configuration* route = configuration.FindRoute(
    message[http::field::host], target.substr(0, target.find('?')));
  if (route == nullptr) {
    return caller_problem{ http::status::not_found,
                           "No service takes this request",
                           absl::StrCat("step=route no route of configuration ",
                                        configuration.mNumber,
                                        " matches the host and path") };
  }
  std::uniform_real_distribution<double> part(0, 1);
  const service_configuration* service =
    configuration.Find(ChooseTarget(*route, part(mRandom)).mService);
  aRequest.mCaller = mLocalService;
  protocol::request_head& head = aRequest.mHead;
  head.service_name = service->mName;
  head.shard = -1;
  head.method = message.method_string();
  head.target = target;
  head.priority = route->mPriority;
  head.route = route->mName;
  head.fields = EndToEndFields(message);
  SetRouterFields(head);
  aRequest.mIsIdempotent =
    route->mIsIdempotent.value_or(IsIdempotent(head.method, *service));
  aRequest.mMostServers = route->mMostServers;
  aRequest.mHasLargeResponse = route->mHasLargeResponses;
  if (auto refused = ResolveKey(*service, aRequest)) {
    return refused;
  }
  if (auto refused = ResolveBody(
        aParser, MaxBodyBytes(configuration.mLimits, *service), head)) {
    return refused;
  }
  return ResolveDeadline(message, *route, aArrivedAt, aRequest);
}

void
request_resolver::SetRouterFields(protocol::request_head& aHead) const
{
  for (const std::string* name : { &mHeaderNames.mDeadlineRemaining,
                                   &mHeaderNames.mExpectedInstance,
                                   &mHeaderNames.mCallerService }) {
    if (!name->empty()) {
      RemoveField(aHead.fields, *name);
    }
  }
  if (!mHeaderNames.mCallerService.empty()) {
    protocol::header_field field;
    field.name = mHeaderNames.mCallerService;
    field.value = mLocalService;
    aHead.fields.push_back(std::move(field));
  }
}

std::optional<caller_problem>
request_resolver::ResolveDeadline(const http::fields& aFields,
                                  const route_configuration& aRoute,
                                  instant aArrivedAt,
                                  routed_request& aRequest)
{
  std::chrono::milliseconds timeout = aRoute.mTimeout;
  duration caller_waits = timeout;
  duration used(0); // of the caller's time, by earlier attempts
  const std::string_view requested = aFields[mHeaderNames.mDeadlineRemaining];
  if (!requested.empty()) {
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(
      requested.data(), requested.data() + requested.size(), milliseconds);
    const bool is_number = parsed.ec == std::errc() &&
                           parsed.ptr == requested.data() + requested.size() &&
                           milliseconds > 0;
    if (!is_number) {
      return caller_problem{
        http::status::bad_request,
        "The deadline can't be read",
        "step=receive_head expected a whole number of milliseconds above 0"
      };
    }
    const std::chrono::milliseconds wanted(milliseconds);
    caller_waits = wanted;
    if (!aRequest.mHead.is_call) {
      used = mBudgets.Note(aRoute.mName, wanted, aArrivedAt);
    }
    timeout = std::min(
      timeout, wanted - std::min(kResponseTime, wanted / kResponseTimeParts));
  }
  aRequest.mDeadline = aArrivedAt + timeout;
  aRequest.mTarget = aArrivedAt + aRoute.mTargetLatency - used;
  aRequest.mCallerWaitsUntil = aArrivedAt + caller_waits;
  return std::nullopt;
}

} // namespace plantaindale
