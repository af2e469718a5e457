#include "plantaindale/configuration/cluster_configuration.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/configuration/document_reader.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMostShards = 1'000'000;
constexpr std::int64_t kLongestDeadlineMs = 3'600'000;
constexpr double kLargestWeight = 1000;

std::optional<key_rule>
ReadKeyRule(document_reader aReader)
{
  if (!aReader.IsPresent()) {
    return std::nullopt;
  }
  aReader.AllowOnly({ "path_segment", "header", "query" });
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
    aReader.Fault("one of path_segment, header or query");
  }
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
                      "weights" });
  service_configuration service;
  service.mName = std::move(aName);
  service.mHost = aReader.Text("host", "");
  service.mPathPrefix = aReader.Text("path_prefix", "");
  if (!service.mPathPrefix.starts_with('/')) {
    aReader.Child("path_prefix").Fault("a path that starts with /");
  }
  service.mKey = ReadKeyRule(aReader.Child("key"));
  if (service.mKey) {
    service.mShards =
      static_cast<int>(aReader.Integer("shards", 0, 1, kMostShards));
  }
  service.mDeadline = std::chrono::milliseconds(
    aReader.Integer("deadline_ms", 10000, 1, kLongestDeadlineMs));
  service.mLargestBody = aReader.Integer("largest_body_bytes", 0, 0, INT64_MAX);
  service.mIdempotentPosts = aReader.Boolean("idempotent_posts", false);
  document_reader weights = aReader.Child("weights");
  weights.AllowOnly({ "unavailable", "imbalance", "churn" });
  service.mWeights.mUnavailable =
    weights.Number("unavailable", 1, 0, kLargestWeight);
  service.mWeights.mImbalance =
    weights.Number("imbalance", 1, 0, kLargestWeight);
  service.mWeights.mChurn = weights.Number("churn", 1, 0, kLargestWeight);
  return service;
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
    aReader.Child("mode").Fault("witnesses or platform");
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

cluster_configuration
ParseDocument(const json::value& aDocument,
              std::vector<document_fault>& aFaults)
{
  cluster_configuration configuration;
  configuration.mDocument = json::serialize(aDocument);
  document_reader reader(&aDocument, "", aFaults);
  reader.AllowOnly({ "services", "lease" });
  configuration.mLeaseMode = ReadLeaseMode(reader.Child("lease"));
  document_reader services = reader.Child("services");
  for (const std::string& name : services.Names()) {
    configuration.mServices.push_back(ReadService(services.Child(name), name));
  }
  return configuration;
}

absl::StatusOr<cluster_configuration>
ParseConfiguration(const stored_object& aObject)
{
  try {
    const json::value value = json::parse(aObject.body);
    std::vector<document_fault> faults;
    cluster_configuration configuration =
      ParseDocument(value.at("document"), faults);
    configuration.mNumber = value.at("number").to_number<std::int64_t>();
    configuration.mPatchId = value.at("patch_id").as_string();
    configuration.mRevision = aObject.revision;
    for (const json::value& patch : value.at("history").as_array()) {
      configuration.mHistory.push_back(
        { patch.at("number").to_number<std::int64_t>(),
          std::string(patch.at("patch_id").as_string()) });
    }
    if (!faults.empty()) {
      return MakeError(absl::StatusCode::kInvalidArgument,
                       "parse_configuration",
                       faults.front().mWhere,
                       "expected " + faults.front().mExpected);
    }
    return configuration;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_configuration",
                     aObject.name,
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
