// `plantaindale config patch`: submits a patch on a numbered version.
#include <iostream>
#include <random>

#include "absl/strings/str_cat.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/configuration/configuration_patch.h"
#include "plantaindale/settings/yaml_document.h"

namespace plantaindale {
namespace {

std::string
MakePatchId()
{
  std::random_device device;
  return absl::StrCat(absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8));
}

} // namespace

int
RunConfigPatch(command_arguments aArguments)
{
  option_parser options(
    "Submits a JSON merge patch, in YAML or JSON, on a numbered version of the "
    "configuration. A stale base is refused with exit code 3.",
    std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& base = options.AddInteger(
    "base-version", "the version patched; 0 at first", true, 0);
  auto& file = options.AddString("file", "the patch", true, "");
  auto& patch_id = options.AddString(
    "patch-id", "of an earlier try whose end wasn't known", false, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto document = ReadYamlFile(file.getValue());
  if (!document.ok()) {
    return ReportError(document.status());
  }
  configuration_patch patch;
  patch.mBaseNumber = base.getValue();
  patch.mPatchId = patch_id.isSet() ? patch_id.getValue() : MakePatchId();
  patch.mChange = std::move(document->mValue);
  return RunWithStore(platform.getValue(), [&](object_store& aStore) -> int {
    auto accepted = SubmitPatch(aStore, patch);
    if (!accepted.ok()) {
      return ReportError(accepted.status());
    }
    std::cout << "accepted version " << accepted->mNumber << "\n";
    return kExitSuccess;
  });
}

} // namespace plantaindale
