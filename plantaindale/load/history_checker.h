// ledger checks what callers saw against what backend servers ran: no shard
// run by two servers at once, nothing run twice that mustn't be, nothing run
// that was called not run, no answer to the wrong caller.
//
//   ledger checked(records, ReadRunLog("runs.txt"));
//   for (const std::string& fault : checked.Faults()) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaindale/load/request_record.h"

namespace plantaindale {

// One line of a backend server's log of runs.
struct run_log_entry
{
  std::string mEventName;   // start, begin, end, cut, refused, over_slots
  std::int64_t mTimeUs = 0; // microseconds of the boot clock
  std::string mServer;
  std::string mShard;
  std::string mTag;
  std::string mMethod;
  int mProcessNumber = 0; // which process of that server, counted by its starts
};

std::vector<run_log_entry>
ReadRunLog(const std::string& aFile);

// How long keys had no answer, and how requests ended.
struct load_summary
{
  std::int64_t mByOutcome[5] = {};
  duration mP50{};
  duration mP99{};
  duration mP999{};
  duration mMaxLatency{};
  double mAnsweredPerSecond = 0;
};

load_summary
Summarize(const std::vector<request_record>& aRecords);

// For each key that was asked for after `aFrom`: from then until its first
// answer that was asked for after it. Keys never answered count until `aUntil`.
std::vector<duration>
MeasureUnavailability(const std::vector<request_record>& aRecords,
                      const std::vector<std::string>& aKeys,
                      instant aFrom,
                      instant aUntil);

class history_checker
{
public:
  history_checker(const std::vector<request_record>& aRecords,
                  const std::vector<run_log_entry>& aRuns);

  // One line each; empty when all is well.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void CheckOverlaps(const std::vector<run_log_entry>& aRuns);
  void CheckOutcomes(const std::vector<request_record>& aRecords,
                     const std::vector<run_log_entry>& aRuns);

  std::vector<std::string> mViolations;
};

} // namespace plantaindale
