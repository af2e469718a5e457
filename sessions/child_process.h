// Functions on the processes that process_cluster starts.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace plantaindale::sessions {

// Starts a program of the build folder, whose output is appended to `aLog`. It
// is killed when the calling thread ends.
pid_t
StartProcess(std::vector<std::string> aCommand, const std::string& aLog);

// Does nothing if there is no process, which 0 stands for.
void
SignalProcess(pid_t aProcess, int aSignal);

// Kills the process, if there is one, waits for its end and sets it to 0.
void
KillProcess(pid_t& aProcess);

// Whether the process has ended by itself; sets it to 0 then.
bool
HasEnded(pid_t& aProcess);

// Whether the node holds or handles the signal, or has ended. Before main() it
// does neither, though the logger blocks signals for a moment there.
bool
HasBegunOrEnded(pid_t aNode, int aSignal);

} // namespace plantaindale::sessions
