// Implements `plantaindale evacuate` and `unevacuate`.
#include <algorithm>
#include <iostream>

#include "plantaindale/base/error.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/evacuation/evacuation_list.h"

namespace plantaindale {
namespace {

// The list in the store; an empty one of revision 0 if there is none.
absl::StatusOr<evacuation_list>
ReadEvacuations(object_store& aStore)
{
  const auto stored = aStore.Get(kEvacuationKind, kEvacuationName);
  if (absl::IsNotFound(stored.status())) {
    return evacuation_list();
  }
  if (!stored.ok()) {
    return stored.status();
  }
  return ParseEvacuationObject(*stored);
}

// Adds the domain to the list, or removes it.
int
ChangeEvacuations(object_store& aStore,
                  const std::string& aDomain,
                  bool aIsEvacuated)
{
  const auto list = ReadEvacuations(aStore);
  if (!list.ok()) {
    return ReportError(list.status());
  }
  std::vector<std::string> domains = list->Domains();
  std::erase(domains, aDomain);
  if (aIsEvacuated) {
    domains.push_back(aDomain);
  }
  const auto written =
    aStore.Write({ std::string(kEvacuationKind),
                   std::string(kEvacuationName),
                   list->Revision(),
                   MakeEvacuationObject({ 0, domains }).body });
  if (!written.ok()) {
    return ReportError(written.status());
  }
  std::cout << aDomain << (aIsEvacuated ? " is" : " is not") << " evacuated\n";
  return kExitSuccess;
}

int
RunEvacuationCommand(const std::string& aDescription,
                     bool aIsEvacuated,
                     command_arguments aArguments)
{
  option_parser options(aDescription, std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& domain = options.AddPositional("DOMAIN", "name of the failure domain");
  if (const auto code = options.Parse()) {
    return *code;
  }
  return RunWithStore(platform.getValue(), [&](object_store& aStore) {
    return ChangeEvacuations(aStore, domain.getValue(), aIsEvacuated);
  });
}

} // namespace

int
RunEvacuate(command_arguments aArguments)
{
  return RunEvacuationCommand(
    "Makes all nodes send nothing more to the backend servers of a failure "
    "domain. Requests go to other domains, with the shards.",
    true,
    std::move(aArguments));
}

int
RunUnevacuate(command_arguments aArguments)
{
  return RunEvacuationCommand(
    "Ends the evacuation of a failure domain.", false, std::move(aArguments));
}

} // namespace plantaindale
