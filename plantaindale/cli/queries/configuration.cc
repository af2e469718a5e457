// `plantaindale config get`, `history` and `validate`.
#include <iostream>

#include "plantaindale/base/error.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/configuration/configuration_patch.h"
#include "plantaindale/observe/state_dump.h"
#include "plantaindale/settings/yaml_document.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

// Reads the configuration in force and prints a part of it.
int
PrintConfiguration(const std::string& aDescription,
                   command_arguments aArguments,
                   boost::json::value (*aSelect)(const cluster_configuration&))
{
  option_parser options(aDescription, std::move(aArguments));
  auto& platform = options.AddPlatform();
  if (const auto code = options.Parse()) {
    return *code;
  }
  return RunWithStore(platform.getValue(), [&](object_store& aStore) -> int {
    auto configuration = ReadConfiguration(aStore);
    if (!configuration.ok()) {
      return ReportError(configuration.status());
    }
    std::cout << PrettyPrint(aSelect(*configuration));
    return kExitSuccess;
  });
}

} // namespace

int
RunConfigGet(command_arguments aArguments)
{
  return PrintConfiguration(
    "Prints the configuration in force, with its number.",
    std::move(aArguments),
    [](const cluster_configuration& aConfiguration) -> boost::json::value {
      return { { "number", aConfiguration.mNumber },
               { "document", boost::json::parse(aConfiguration.mDocument) } };
    });
}

int
RunConfigHistory(command_arguments aArguments)
{
  return PrintConfiguration(
    "Lists the last accepted patches, the newest last.",
    std::move(aArguments),
    [](const cluster_configuration& aConfiguration) -> boost::json::value {
      boost::json::array patches;
      for (const accepted_patch& patch : aConfiguration.mHistory) {
        patches.push_back(boost::json::value(
          { { "number", patch.mNumber }, { "patch_id", patch.mPatchId } }));
      }
      return patches;
    });
}

int
RunConfigValidate(command_arguments aArguments)
{
  option_parser options("Checks a whole configuration document.",
                        std::move(aArguments));
  auto& file =
    options.AddString("file", "the document, YAML or JSON", true, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto document = ReadYamlFile(file.getValue());
  if (!document.ok()) {
    return ReportError(document.status());
  }
  std::vector<document_fault> faults;
  ParseDocument(document->mValue, faults);
  const absl::Status status =
    FaultsToStatus(faults, *document, file.getValue());
  if (!status.ok()) {
    return ReportError(status);
  }
  std::cout << file.getValue() << " is sound\n";
  return kExitSuccess;
}

} // namespace plantaindale
