// Reads the CPU time (user and system), the resident memory and its peak of a
// process from /proc.
#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>

namespace plantaindale::bench {

struct process_usage
{
  double mCpuSeconds = 0;
  double mResidentMb = 0;
  double mPeakMb = 0; // of the resident memory
};

inline process_usage
UsageOf(pid_t aProcess)
{
  const std::string folder = "/proc/" + std::to_string(aProcess);
  std::ifstream stat(folder + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    words >> skipped;
  }
  double user = 0;
  double system = 0;
  words >> user >> system;
  std::ifstream status(folder + "/status");
  double peak_kb = 0;
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      status >> peak_kb;
    }
  }
  std::ifstream statm(folder + "/statm");
  double pages = 0;
  statm >> skipped >> pages;
  const double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const double page = static_cast<double>(sysconf(_SC_PAGESIZE));
  return { (user + system) / ticks,
           pages * page / (1024 * 1024),
           peak_kb / 1024 };
}

} // namespace plantaindale::bench
