#include "sessions/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace plantaindale::sessions {

pid_t
StartProcess(std::vector<std::string> aCommand, const std::string& aLog)
{
  aCommand[0] = std::string(BUILD_FOLDER) + "/" + aCommand[0];
  std::vector<char*> arguments;
  for (std::string& word : aCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const pid_t child = fork();
  if (child != 0) {
    return child;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void
SignalProcess(pid_t aProcess, int aSignal)
{
  if (aProcess > 0) {
    kill(aProcess, aSignal);
  }
}

void
KillProcess(pid_t& aProcess)
{
  if (aProcess > 0) {
    kill(aProcess, SIGKILL);
    waitpid(aProcess, nullptr, 0);
  }
  aProcess = 0;
}

bool
HasEnded(pid_t& aProcess)
{
  const bool has_ended =
    aProcess > 0 && waitpid(aProcess, nullptr, WNOHANG) == aProcess;
  aProcess = has_ended ? 0 : aProcess;
  return has_ended;
}

bool
HasBegunOrEnded(pid_t aNode, int aSignal)
{
  std::ifstream status(absl::StrCat("/proc/", aNode, "/status"));
  std::uint64_t caught = 0;
  bool is_running = false;
  bool is_node = false; // and no longer the copy of this process
  for (std::string name; status >> name;) {
    if (name == "Name:") {
      std::string program;
      status >> program;
      is_node = program == "plantaindale";
    } else if (name == "State:") {
      std::string state;
      status >> state;
      is_running = state != "Z" && state != "X";
    } else if (name == "SigCgt:") {
      status >> std::hex >> caught >> std::dec;
    }
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << (aSignal - 1);
  return !is_running || (is_node && (caught & bit) != 0);
}

} // namespace plantaindale::sessions
