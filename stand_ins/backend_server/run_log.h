// run_log records the runs of a backend server stand-in for history_checker,
// which compares them with what callers observed. One line per event, with `-`
// for an empty field:
//
//   start|begin|end|cut|refused|over_slots|crash|grant TIME_US SERVER SHARD
//   EPOCH TAG METHOD
//
// `crash` marks the run that ends the process, and `grant` an accepted grant,
// with the range of keys FROM-TO as shard and the fencing token as epoch.
// `cut` marks a run that was aborted. It carries the time of the run's last
// progress, not of the abort: a frozen server makes no progress, and aborts the
// run only after it resumes.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale::stand_ins {

struct run_entry
{
  std::string mShard;
  std::string mEpoch;
  std::string mTag; // of the caller's request
  std::string mMethod;
};

class run_log
{
public:
  // Appends to `aFile`; logs nothing if the name is empty or the file can't be
  // opened.
  run_log(const std::string& aFile, std::string aServer);
  run_log(const run_log&) = delete;
  run_log& operator=(const run_log&) = delete;
  ~run_log();

  // Flushes each line, so that none is lost if the process is killed.
  void Write(std::string_view aEventType, const run_entry& aEntry, instant aAt);

private:
  std::FILE* mFile = nullptr;
  std::string mServer;
};

} // namespace plantaindale::stand_ins
