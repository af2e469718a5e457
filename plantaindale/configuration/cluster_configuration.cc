#include "plantaindale/configuration/cluster_configuration.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/configuration/document_reader.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxShards = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr double kMaxWeight = 1000;
constexpr std::int64_t kMaxIntegerKeys = 1 << 30;
constexpr std::int64_t kMaxHeadBytes = 1 << 20;   // bytes
constexpr std::int64_t kMaxBodyBytes = 1LL << 40; // bytes
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxServersTried = 100;
constexpr std::int64_t kLowestPriority = 1000;
constexpr double kMaxStartsPerSecond = 1e6;

std::optional<key_rule>
ReadKeyRule(document_reader aReader)
{
  if (!aReader.IsPresent()) {
    return std::nullopt;
  }
  aReader.AllowOnly({ "path_segment", "header", "query", "numbers" });
  key_rule rule;
  if (aReader.Has("header")) {
    rule.mPlace = key_rule::place::kHeader;
    rule.mName = aReader.Text("header", "");
  } else if (aReader.Has("query")) {
    rule.mPlace = key_rule::place::kQuery;
    rule.mName = aReader.Text("query", "");
  } else if (aReader.Has("path_segment")) {
    rule.mSegment = static_cast<int>(aReader.Integer("path_segment", 0, 0, 16));
  } else {
    aReader.AddFault("one of the keys path_segment, header and query");
  }
  rule.mNumbers =
    static_cast<int>(aReader.Integer("numbers", 0, 0, kMaxIntegerKeys));
  return rule;
}

service_configuration
ReadService(document_reader aReader, std::string aName)
{
  aReader.AllowOnly({ "host",
                      "path_prefix",
                      "key",
                      "shards",
                      "deadline_ms",
                      "largest_body_bytes",
                      "idempotent_posts",
                      "connections",
                      "cold_start_ms",
                      "cold_starts_per_second",
                      "weights" });
  service_configuration service;
  service.mName = std::move(aName);
  service.mHost = aReader.Text("host", "");
  service.mPathPrefix = aReader.Text("path_prefix", "");
  if (!service.mPathPrefix.empty() && !service.mPathPrefix.starts_with('/')) {
    aReader.Child("path_prefix").AddFault("a path that starts with /");
  }
  service.mKey = ReadKeyRule(aReader.Child("key"));
  if (service.mKey) {
    service.mShards =
      static_cast<int>(aReader.Integer("shards", 0, 1, kMaxShards));
    const bool is_uneven =
      service.mShards > 0 && service.mKey->mNumbers % service.mShards != 0;
    if (is_uneven) {
      aReader.Child("shards").AddFault("a divisor of key.numbers");
    }
  }
  service.mDeadline = std::chrono::milliseconds(
    aReader.Integer("deadline_ms", 10000, 1, kMaxDeadlineMs));
  service.mLargestBody = aReader.Integer("largest_body_bytes", 0, 0, INT64_MAX);
  service.mIdempotentPosts = aReader.Boolean("idempotent_posts", false);
  service.mConnections =
    static_cast<int>(aReader.Integer("connections", 0, 0, kMaxConnections));
  service.mColdStart = std::chrono::milliseconds(
    aReader.Integer("cold_start_ms", 0, 0, kMaxDeadlineMs));
  service.mColdStartsPerSecond =
    aReader.Number("cold_starts_per_second", 0, 0, kMaxStartsPerSecond);
  document_reader weights = aReader.Child("weights");
  weights.AllowOnly({ "unavailable", "imbalance", "churn" });
  service.mWeights.mUnavailable =
    weights.Number("unavailable", 1, 0, kMaxWeight);
  service.mWeights.mImbalance = weights.Number("imbalance", 1, 0, kMaxWeight);
  service.mWeights.mChurn = weights.Number("churn", 1, 0, kMaxWeight);
  return service;
}

std::chrono::milliseconds
ReadMilliseconds(document_reader& aReader,
                 std::string_view aName,
                 std::chrono::milliseconds aFallback)
{
  return std::chrono::milliseconds(
    aReader.Integer(aName, aFallback.count(), 1, kMaxDeadlineMs));
}

route_configuration
ReadRoute(document_reader aReader, std::string aName)
{
  aReader.AllowOnly({ "host",
                      "path_prefix",
                      "targets",
                      "idempotent",
                      "large_responses",
                      "timeout_ms",
                      "target_latency_ms",
                      "priority",
                      "most_servers" });
  route_configuration route;
  route.mName = std::move(aName);
  route.mHost = aReader.Text("host", "");
  route.mPathPrefix = aReader.RequiredText("path_prefix");
  if (!route.mPathPrefix.starts_with('/')) {
    aReader.Child("path_prefix").AddFault("a path that starts with /");
  }
  document_reader targets = aReader.Child("targets");
  for (const std::string& service : targets.Names()) {
    route.mTargets.push_back(
      { service, targets.Number(service, 1, 0, kMaxWeight) });
  }
  if (route.mTargets.empty()) {
    targets.AddFault("at least one entry SERVICE: WEIGHT");
  }
  if (aReader.Has("idempotent")) {
    route.mIsIdempotent = aReader.Boolean("idempotent", false);
  }
  route.mHasLargeResponses = aReader.Boolean("large_responses", false);
  route.mTimeout = ReadMilliseconds(aReader, "timeout_ms", route.mTimeout);
  route.mTargetLatency =
    ReadMilliseconds(aReader, "target_latency_ms", route.mTargetLatency);
  route.mPriority =
    static_cast<int>(aReader.Integer("priority", 0, 0, kLowestPriority));
  route.mMostServers = static_cast<int>(
    aReader.Integer("most_servers", route.mMostServers, 1, kMaxServersTried));
  return route;
}

// Sorts the routes so that the first match is the one to use, whatever the
// order in the document.
void
SortRoutes(std::vector<route_configuration>& aRoutes)
{
  std::sort(aRoutes.begin(), aRoutes.end(), [](const auto& aA, const auto& aB) {
    if (aA.mPathPrefix.size() != aB.mPathPrefix.size()) {
      return aA.mPathPrefix.size() > aB.mPathPrefix.size();
    }
    if (aA.mHost.empty() != aB.mHost.empty()) {
      return !aA.mHost.empty();
    }
    return aA.mName < aB.mName;
  });
}

// Adds a route for each service that has a path prefix.
void
AddServiceRoutes(cluster_configuration& aConfiguration)
{
  for (const service_configuration& service : aConfiguration.mServices) {
    if (service.mPathPrefix.empty()) {
      continue;
    }
    route_configuration route;
    route.mName = service.mName;
    route.mHost = service.mHost;
    route.mPathPrefix = service.mPathPrefix;
    route.mTargets.push_back({ service.mName, 1 });
    route.mTimeout = service.mDeadline;
    aConfiguration.mRoutes.push_back(std::move(route));
  }
}

void
CheckTargets(document_reader aRoutes,
             const cluster_configuration& aConfiguration)
{
  for (const route_configuration& route : aConfiguration.mRoutes) {
    for (const traffic_share& share : route.mTargets) {
      if (aConfiguration.Find(share.mService) == nullptr) {
        aRoutes.Child(route.mName)
          .Child("targets")
          .Child(share.mService)
          .AddFault("the name of a service in this document");
      }
    }
  }
}

caller_limits
ReadLimits(document_reader aReader)
{
  aReader.AllowOnly(
    { "head_bytes", "body_bytes", "head_timeout_ms", "idle_timeout_ms" });
  caller_limits limits;
  limits.mHeadBytes =
    aReader.Integer("head_bytes", limits.mHeadBytes, 1, kMaxHeadBytes);
  limits.mBodyBytes =
    aReader.Integer("body_bytes", limits.mBodyBytes, 0, kMaxBodyBytes);
  limits.mHeadTimeout =
    ReadMilliseconds(aReader, "head_timeout_ms", limits.mHeadTimeout);
  limits.mIdleTimeout =
    ReadMilliseconds(aReader, "idle_timeout_ms", limits.mIdleTimeout);
  return limits;
}

lease_mode
ReadLeaseMode(document_reader aReader)
{
  aReader.AllowOnly({ "mode" });
  const std::string mode = aReader.Text("mode", "witnesses");
  if (mode == "platform") {
    return lease_mode::kPlatform;
  }
  if (mode != "witnesses") {
    aReader.Child("mode").AddFault("witnesses or platform");
  }
  return lease_mode::kWitnesses;
}

} // namespace

const service_configuration*
cluster_configuration::Find(std::string_view aService) const
{
  const auto found = std::find_if(
    mServices.begin(), mServices.end(), [&](const auto& aCandidate) {
      return aCandidate.mName == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

const route_configuration*
cluster_configuration::FindRoute(std::string_view aHost,
                                 std::string_view aPath) const
{
  const std::string_view host = aHost.substr(0, aHost.rfind(':'));
  const auto route =
    std::find_if(mRoutes.begin(), mRoutes.end(), [&](const auto& aRoute) {
      return aPath.starts_with(aRoute.mPathPrefix) &&
             (aRoute.mHost.empty() || aRoute.mHost == host);
    });
  return route == mRoutes.end() ? nullptr : &*route;
}

cluster_configuration
ParseDocument(const json::value& aDocument,
              std::vector<document_fault>& aFaults)
{
  cluster_configuration configuration;
  configuration.mDocument = json::serialize(aDocument);
  document_reader reader(&aDocument, "", aFaults);
  reader.AllowOnly({ "services", "routes", "limits", "lease" });
  configuration.mLeaseMode = ReadLeaseMode(reader.Child("lease"));
  document_reader services = reader.Child("services");
  for (const std::string& name : services.Names()) {
    configuration.mServices.push_back(ReadService(services.Child(name), name));
  }
  document_reader routes = reader.Child("routes");
  for (const std::string& name : routes.Names()) {
    configuration.mRoutes.push_back(ReadRoute(routes.Child(name), name));
  }
  CheckTargets(routes, configuration);
  AddServiceRoutes(configuration);
  SortRoutes(configuration.mRoutes);
  configuration.mLimits = ReadLimits(reader.Child("limits"));
  return configuration;
}

absl::StatusOr<cluster_configuration>
ParseConfiguration(const stored_object& aObject)
{
  boost::system::error_code malformed;
  const json::value stored = json::parse(aObject.body, malformed);
  if (malformed) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_configuration",
                     aObject.name,
                     malformed.message());
  }
  return ParseConfiguration(stored, aObject.revision);
}

absl::StatusOr<cluster_configuration>
ParseConfiguration(const json::value& aStored, std::int64_t aRevision)
{
  try {
    std::vector<document_fault> faults;
    cluster_configuration configuration =
      ParseDocument(aStored.at("document"), faults);
    configuration.mNumber = aStored.at("number").to_number<std::int64_t>();
    configuration.mPatchId = aStored.at("patch_id").as_string();
    configuration.mRevision = aRevision;
    for (const json::value& patch : aStored.at("history").as_array()) {
      configuration.mHistory.push_back(
        { patch.at("number").to_number<std::int64_t>(),
          std::string(patch.at("patch_id").as_string()) });
    }
    if (!faults.empty()) {
      return MakeError(absl::StatusCode::kInvalidArgument,
                       "parse_configuration",
                       faults.front().mFieldPath,
                       "expected " + faults.front().mExpected);
    }
    return configuration;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_configuration",
                     kConfigurationName,
                     error.what());
  }
}

std::string
Serialize(const cluster_configuration& aConfiguration)
{
  json::array history;
  for (const accepted_patch& patch : aConfiguration.mHistory) {
    history.push_back(json::value(
      { { "number", patch.mNumber }, { "patch_id", patch.mPatchId } }));
  }
  const json::value value = { { "number", aConfiguration.mNumber },
                              { "patch_id", aConfiguration.mPatchId },
                              { "history", std::move(history) },
                              { "document",
                                json::parse(aConfiguration.mDocument) } };
  return json::serialize(value);
}

} // namespace plantaindale
