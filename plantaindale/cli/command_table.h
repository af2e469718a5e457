// The subcommands of the plantaindale binary. Each function takes the command's
// name followed by its arguments and returns the exit code of the process.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace plantaindale {

using command_arguments = std::vector<std::string>;

struct command_entry
{
  std::string_view mName;
  std::string_view mSummary;
  int (*mRun)(command_arguments aArguments);
};

// Commands that change state.
int
RunServe(command_arguments aArguments);
int
RunConfigPatch(command_arguments aArguments);
int
RunDrain(command_arguments aArguments);
int
RunUndrain(command_arguments aArguments);
int
RunMove(command_arguments aArguments);
int
RunLift(command_arguments aArguments);
int
RunConfirmLost(command_arguments aArguments);
int
RunEvacuate(command_arguments aArguments);
int
RunUnevacuate(command_arguments aArguments);
int
RunLoad(command_arguments aArguments);

// Commands that only read.
int
RunConfigGet(command_arguments aArguments);
int
RunConfigHistory(command_arguments aArguments);
int
RunConfigValidate(command_arguments aArguments);
int
RunNodes(command_arguments aArguments);
int
RunShards(command_arguments aArguments);
int
RunOwner(command_arguments aArguments);
int
RunDump(command_arguments aArguments);
int
RunCrashes(command_arguments aArguments);

// Runs the command that `aArguments` starts with; prints the usage if there is
// none. `aArguments` excludes the name of the binary.
int
RunCommandLine(command_arguments aArguments);

} // namespace plantaindale
