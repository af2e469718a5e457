// The commands of the one binary. Each takes the arguments after its name and
// returns the process's exit code.
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

// Commands: they change something.
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
RunConfirmLost(command_arguments aArguments);
int
RunLoad(command_arguments aArguments);

// Queries: they don't.
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

// Finds the command that the arguments name and runs it.
int
RunCommandLine(command_arguments aArguments);

} // namespace plantaindale
