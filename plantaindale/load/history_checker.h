// history_checker compares the outcomes that callers observed with the run logs
// of the backend servers. It reports:
// - requests of one shard that ran on two servers at the same time,
// - servers that ran more requests than they have slots,
// - POST requests that ran more than once,
// - requests that ran although they were reported as not run,
// - requests that were answered but never ran,
// - answers that belong to another request.
//
//   history_checker checker(records, ReadRunLog("runs.txt"));
//   for (const std::string& violation : checker.Violations()) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaindale/load/request_record.h"

namespace plantaindale {

// One line of a backend server's run log.
struct run_log_entry
{
  std::string mEventName;   // see stand_ins/backend_server/run_log.h
  std::int64_t mTimeUs = 0; // microseconds of the boot clock
  std::string mServer;
  std::string mShard;
  std::string mEpoch;
  std::string mTag;
  std::string mMethod;
  // Number of `start` lines of this server up to here; identifies its process.
  int mProcessNumber = 0;
};

// Returns the entries of the run log `aFile`, sorted by time.
std::vector<run_log_entry>
ReadRunLog(const std::string& aFile);

// Latencies of answered requests, and the number of requests by outcome.
struct load_summary
{
  std::int64_t mByOutcome[5] = {}; // indexed by observed_outcome
  duration mP50{};
  duration mP99{};
  duration mP999{};
  duration mMaxLatency{};
  double mAnsweredPerSecond = 0;
};

load_summary
Summarize(const std::vector<request_record>& aRecords);

// Returns, for each key, the time from `aFrom` until the first answer to a
// request for the key that was scheduled at or after `aFrom`; `aUntil - aFrom`
// if there is no such answer. The times are sorted.
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

  // One description per violation; empty if there are none.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void CheckOverlaps(const std::vector<run_log_entry>& aRuns);
  void CheckOutcomes(const std::vector<request_record>& aRecords,
                     const std::vector<run_log_entry>& aRuns);

  std::vector<std::string> mViolations;
};

} // namespace plantaindale
