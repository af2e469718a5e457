// The log of what a backend server stand-in ran: a line when a run begins and
// one when it ends, for the ledger that checks runs against callers' logs.
//
//   start|begin|end|cut|refused|over_slots TIME_US SERVER SHARD EPOCH TAG
//   METHOD
//
// The time of a cut is that of the last step which the run did: a server that
// was frozen does nothing until it wakes, and then finds the run's time over.
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
  // An empty file name: no log.
  run_log(const std::string& aFile, std::string aServer);
  run_log(const run_log&) = delete;
  run_log& operator=(const run_log&) = delete;
  ~run_log();

  // Written through at once, so that a kill loses nothing.
  void Write(std::string_view aEventType, const run_entry& aEntry, instant aAt);

private:
  std::FILE* mFile = nullptr;
  std::string mServer;
};

} // namespace plantaindale::stand_ins
