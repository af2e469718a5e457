#include "plantaindale/configuration/configuration_patch.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/configuration/merge_patch.h"
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr int kMaxAttempts = 5;
constexpr std::chrono::milliseconds kRetryDelay{ 200 };
constexpr std::size_t kMaxHistory = 20;

bool
WasAccepted(const cluster_configuration& aCurrent, std::string_view aPatchId)
{
  return std::any_of(
    aCurrent.mHistory.begin(),
    aCurrent.mHistory.end(),
    [&](const auto& aPatch) { return aPatch.mPatchId == aPatchId; });
}

absl::Status
StaleBaseError(std::int64_t aBase, std::int64_t aCurrent)
{
  return MakeError(
    absl::StatusCode::kFailedPrecondition,
    "submit_patch",
    "",
    absl::StrCat(
      "patch is based on version ", aBase, "; current is ", aCurrent));
}

absl::StatusOr<cluster_configuration>
MakeNextVersion(const cluster_configuration& aCurrent,
                const configuration_patch& aPatch)
{
  const json::value document =
    MergePatch(json::parse(aCurrent.mDocument), aPatch.mChange);
  std::vector<document_fault> faults;
  cluster_configuration next = ParseDocument(document, faults);
  if (!faults.empty()) {
    std::string list;
    for (const document_fault& fault : faults) {
      absl::StrAppend(
        &list, "\n  ", fault.mFieldPath, ": expected ", fault.mExpected);
    }
    return MakeError(
      absl::StatusCode::kInvalidArgument, "check_document", "", list);
  }
  for (const service_configuration& service : next.mServices) {
    const service_configuration* previous = aCurrent.Find(service.mName);
    const bool is_resharded = previous != nullptr && previous->mShards > 0 &&
                              previous->mShards != service.mShards;
    if (is_resharded) {
      return MakeError(absl::StatusCode::kInvalidArgument,
                       "check_document",
                       "",
                       absl::StrCat("services.",
                                    service.mName,
                                    ".shards: expected ",
                                    previous->mShards,
                                    "; the number of shards cannot change"));
    }
  }
  next.mNumber = aCurrent.mNumber + 1;
  next.mPatchId = aPatch.mPatchId;
  next.mHistory = aCurrent.mHistory;
  next.mHistory.push_back({ next.mNumber, next.mPatchId });
  if (next.mHistory.size() > kMaxHistory) {
    next.mHistory.erase(next.mHistory.begin());
  }
  return next;
}

} // namespace

absl::StatusOr<cluster_configuration>
ReadConfiguration(object_store& aStore)
{
  auto object = aStore.Get(kConfigurationKind, kConfigurationName);
  if (absl::IsNotFound(object.status())) {
    return cluster_configuration();
  }
  if (!object.ok()) {
    return object.status();
  }
  return ParseConfiguration(*object);
}

absl::StatusOr<cluster_configuration>
SubmitPatch(object_store& aStore, const configuration_patch& aPatch)
{
  absl::Status last = absl::UnknownError("no attempt was made");
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      boost::this_fiber::sleep_for(kRetryDelay);
    }
    auto current = ReadConfiguration(aStore);
    if (!current.ok()) {
      last = current.status();
      continue;
    }
    if (WasAccepted(*current, aPatch.mPatchId)) {
      return current;
    }
    if (current->mNumber != aPatch.mBaseNumber) {
      return StaleBaseError(aPatch.mBaseNumber, current->mNumber);
    }
    auto next = MakeNextVersion(*current, aPatch);
    if (!next.ok()) {
      return next.status();
    }
    auto written = aStore.Write({ std::string(kConfigurationKind),
                                  std::string(kConfigurationName),
                                  current->mRevision,
                                  Serialize(*next) });
    if (written.ok()) {
      return next;
    }
    // After a conflict or a lost response the next attempt reads the current
    // version. Writing again is idempotent: the write names the same base
    // revision, and the patch id shows whether it was applied already.
    last = written.status();
  }
  return MakeError(
    absl::StatusCode::kUnknown,
    "submit_patch",
    "platform",
    absl::StrCat("outcome of the patch is unknown; submit it again with "
                 "--patch-id ",
                 aPatch.mPatchId,
                 "; last error: ",
                 std::string(Reason(last))));
}

} // namespace plantaindale
