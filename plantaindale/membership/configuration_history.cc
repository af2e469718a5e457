#include "plantaindale/membership/configuration_history.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/configuration/merge_patch.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// A node that is further behind is sent the whole configuration.
constexpr std::size_t kMaxSteps = 64;

constexpr std::string_view kNumberField = "number";

} // namespace

void
configuration_history::Add(version aVersion)
{
  const bool is_first = mLatest.mNumber == 0;
  auto patch =
    is_first ? std::nullopt : MakeMergePatch(mLatest.mStored, aVersion.mStored);
  if (!patch) {
    mSteps.clear();
  } else {
    mSteps.push_back(
      { mLatest.mNumber, *std::move(patch), aVersion.mRevision });
  }
  if (mSteps.size() > kMaxSteps) {
    mSteps.pop_front();
  }
  mLatest = std::move(aVersion);
}

stored_object
configuration_history::MakeObject(std::string aBody,
                                  std::int64_t aPatchBase) const
{
  stored_object object;
  object.kind = std::string(kConfigurationKind);
  object.name = std::string(kConfigurationName);
  object.revision = mLatest.mRevision;
  object.patch_base = aPatchBase;
  object.body = std::move(aBody);
  return object;
}

stored_object
configuration_history::Whole() const
{
  return MakeObject(json::serialize(mLatest.mStored), 0);
}

stored_object
configuration_history::ChangeSince(std::int64_t aNumber) const
{
  const auto first =
    std::find_if(mSteps.begin(), mSteps.end(), [&](const step& aStep) {
      return aStep.mFrom == aNumber;
    });
  if (first == mSteps.end()) {
    return Whole();
  }
  json::array patches;
  for (auto next = first; next != mSteps.end(); ++next) {
    patches.push_back(json::array{ next->mRevision, next->mPatch });
  }
  return MakeObject(json::serialize(patches), aNumber);
}

absl::StatusOr<std::vector<configuration_history::version>>
configuration_history::Apply(const stored_object& aPatches) const
{
  if (aPatches.patch_base != mLatest.mNumber || mLatest.mNumber == 0) {
    return MakeError(absl::StatusCode::kFailedPrecondition,
                     "apply_configuration_patch",
                     "",
                     absl::StrCat("patch applies to version ",
                                  aPatches.patch_base,
                                  "; current is ",
                                  mLatest.mNumber));
  }
  try {
    std::vector<version> versions;
    json::value stored = mLatest.mStored;
    const json::value patches = json::parse(aPatches.body);
    for (const json::value& patch : patches.as_array()) {
      stored = MergePatch(std::move(stored), patch.at(1));
      versions.push_back({ stored.at(kNumberField).to_number<std::int64_t>(),
                           patch.at(0).to_number<std::int64_t>(),
                           stored });
    }
    if (versions.empty()) {
      throw std::invalid_argument("expected at least one patch");
    }
    return versions;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "apply_configuration_patch",
                     "",
                     error.what());
  }
}

} // namespace plantaindale
