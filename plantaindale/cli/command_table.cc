#include "plantaindale/cli/command_table.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"

namespace plantaindale {
namespace {

constexpr command_entry kCommands[] = {
  { "serve", "run the node for a backend server", RunServe },
  { "config get", "print the current configuration", RunConfigGet },
  { "config patch", "submit a patch to a given version", RunConfigPatch },
  { "config history", "list the last accepted patches", RunConfigHistory },
  { "config validate",
    "check a document without submitting it",
    RunConfigValidate },
  { "nodes", "list nodes and their state", RunNodes },
  { "shards", "list shards and their owners", RunShards },
  { "owner", "print the owner of a key", RunOwner },
  { "dump", "print the state of one node", RunDump },
  { "crashes", "list requests under which servers ended", RunCrashes },
  { "drain", "hand over all shards of a node and stop it", RunDrain },
  { "undrain", "cancel a drain that is not complete", RunUndrain },
  { "move", "hand over one shard to another node", RunMove },
  { "lift", "allow a request that is refused for crashes", RunLift },
  { "confirm-lost",
    "confirm that a node's VM is permanently gone",
    RunConfirmLost },
  { "evacuate",
    "send nothing to the servers of a failure domain",
    RunEvacuate },
  { "unevacuate", "end an evacuation", RunUnevacuate },
  { "load", "send load and check every answer", RunLoad },
};

void
PrintUsage(std::ostream& aOutput)
{
  aOutput << "usage: plantaindale COMMAND [OPTIONS]\n\n";
  for (const command_entry& command : kCommands) {
    std::string name(command.mName);
    name.resize(std::max<std::size_t>(name.size(), 18), ' ');
    aOutput << "  " << name << command.mSummary << "\n";
  }
  aOutput
    << "\nRun `plantaindale COMMAND --help` for the options of a command.\n";
}

std::size_t
CountWords(std::string_view aName)
{
  return 1 +
         static_cast<std::size_t>(std::count(aName.begin(), aName.end(), ' '));
}

bool
MatchesCommand(const command_entry& aCommand,
               const command_arguments& aArguments)
{
  std::istringstream words{ std::string(aCommand.mName) };
  std::string word;
  for (std::size_t i = 0; words >> word; ++i) {
    if (i >= aArguments.size() || aArguments[i] != word) {
      return false;
    }
  }
  return true;
}

} // namespace

int
RunCommandLine(command_arguments aArguments)
{
  for (const command_entry& command : kCommands) {
    if (MatchesCommand(command, aArguments)) {
      const auto words = static_cast<std::ptrdiff_t>(CountWords(command.mName));
      aArguments.erase(aArguments.begin(), aArguments.begin() + words);
      aArguments.insert(aArguments.begin(),
                        "plantaindale " + std::string(command.mName));
      return command.mRun(std::move(aArguments));
    }
  }
  if (!aArguments.empty() && aArguments[0] == "--version") {
    std::cout << "plantaindale " << kVersion << "\n";
    return kExitSuccess;
  }
  const bool is_help = !aArguments.empty() && aArguments[0] == "--help";
  PrintUsage(is_help ? std::cout : std::cerr);
  return is_help ? kExitSuccess : kExitUsage;
}

} // namespace plantaindale
