#include "plantaindale/load/history_checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace plantaindale {
namespace {

duration
Quantile(const std::vector<duration>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return duration(0);
  }
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size()));
  return aSorted[std::min(index, aSorted.size() - 1)];
}

// Returns a prefix that identifies one process of one server. Requests that are
// still running when a process crashes end with its last log line.
std::string
ProcessPrefix(const run_log_entry& aRun)
{
  return absl::StrCat(aRun.mServer, "#", aRun.mProcessNumber, " ");
}

} // namespace

std::vector<run_log_entry>
ReadRunLog(const std::string& aFile)
{
  std::vector<run_log_entry> runs;
  std::ifstream input(aFile);
  std::string line;
  while (std::getline(input, line)) {
    std::istringstream words(line);
    run_log_entry run;
    words >> run.mEventName >> run.mTimeUs >> run.mServer >> run.mShard >>
      run.mEpoch >> run.mTag >> run.mMethod;
    runs.push_back(std::move(run));
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mTimeUs < aRight.mTimeUs;
    });
  std::map<std::string, int> starts;
  for (run_log_entry& run : runs) {
    starts[run.mServer] += run.mEventName == "start" ? 1 : 0;
    run.mProcessNumber = starts[run.mServer];
  }
  return runs;
}

load_summary
Summarize(const std::vector<request_record>& aRecords)
{
  load_summary summary;
  std::vector<duration> latencies;
  instant first = instant::max();
  instant last = instant::min();
  for (const request_record& record : aRecords) {
    ++summary.mByOutcome[static_cast<std::size_t>(record.mOutcome)];
    first = std::min(first, record.mScheduledAt);
    last = std::max(last, record.mCompletedAt);
    if (record.mOutcome == observed_outcome::kAnswered) {
      latencies.push_back(record.Latency());
    }
  }
  std::sort(latencies.begin(), latencies.end());
  summary.mP50 = Quantile(latencies, 0.5);
  summary.mP99 = Quantile(latencies, 0.99);
  summary.mP999 = Quantile(latencies, 0.999);
  summary.mMaxLatency = latencies.empty() ? duration(0) : latencies.back();
  if (last > first) {
    const std::chrono::duration<double> time = last - first;
    summary.mAnsweredPerSecond =
      static_cast<double>(latencies.size()) / time.count();
  }
  return summary;
}

std::vector<duration>
MeasureUnavailability(const std::vector<request_record>& aRecords,
                      const std::vector<std::string>& aKeys,
                      instant aFrom,
                      instant aUntil)
{
  std::map<std::string, instant> first_answer;
  for (const std::string& key : aKeys) {
    first_answer[key] = aUntil;
  }
  for (const request_record& record : aRecords) {
    const auto found = first_answer.find(record.mKey);
    const bool counts = found != first_answer.end() &&
                        record.mScheduledAt >= aFrom &&
                        record.mOutcome == observed_outcome::kAnswered;
    if (counts) {
      found->second = std::min(found->second, record.mCompletedAt);
    }
  }
  std::vector<duration> times;
  for (const auto& [key, answer] : first_answer) {
    times.push_back(answer - aFrom);
  }
  std::sort(times.begin(), times.end());
  return times;
}

history_checker::history_checker(const std::vector<request_record>& aRecords,
                                 const std::vector<run_log_entry>& aRuns)
{
  CheckOverlaps(aRuns);
  CheckOutcomes(aRecords, aRuns);
}

void
history_checker::CheckOverlaps(const std::vector<run_log_entry>& aRuns)
{
  // The process of a run without an end line crashed during it. Such a run
  // lasts until the last log line of the process.
  std::map<std::string, std::int64_t> last_line;
  std::map<std::string, std::int64_t> ends;
  for (const run_log_entry& run : aRuns) {
    last_line[ProcessPrefix(run)] = run.mTimeUs;
    if (run.mEventName == "end" || run.mEventName == "cut") {
      ends[ProcessPrefix(run) + run.mTag] = run.mTimeUs;
    }
  }
  struct open_run
  {
    std::string mServer;
    std::string mTag;
    std::int64_t mEnd;
  };
  std::map<std::string, std::vector<open_run>> open_by_shard;
  for (const run_log_entry& run : aRuns) {
    if (run.mEventName == "over_slots") {
      mViolations.push_back("more requests than slots running at " +
                            run.mServer);
    }
    if (run.mEventName != "begin" || run.mShard == "-") {
      continue;
    }
    std::vector<open_run>& others = open_by_shard[run.mShard];
    std::erase_if(others, [&](const open_run& aOther) {
      return aOther.mEnd <= run.mTimeUs;
    });
    for (const open_run& other : others) {
      if (other.mServer != run.mServer) {
        mViolations.push_back(absl::StrCat(run.mShard,
                                           " was run by ",
                                           other.mServer,
                                           " (",
                                           other.mTag,
                                           ") and ",
                                           run.mServer,
                                           " (",
                                           run.mTag,
                                           ") at the same time"));
      }
    }
    const auto end = ends.find(ProcessPrefix(run) + run.mTag);
    const std::int64_t until =
      end == ends.end() ? last_line[ProcessPrefix(run)] : end->second;
    others.push_back({ run.mServer, run.mTag, until });
  }
}

void
history_checker::CheckOutcomes(const std::vector<request_record>& aRecords,
                               const std::vector<run_log_entry>& aRuns)
{
  std::map<std::string, int> executions_by_tag;
  for (const run_log_entry& run : aRuns) {
    executions_by_tag[run.mTag] += run.mEventName == "begin" ? 1 : 0;
  }
  for (const request_record& record : aRecords) {
    const auto found = executions_by_tag.find(record.mTag);
    const int runs = found == executions_by_tag.end() ? 0 : found->second;
    if (record.mOutcome == observed_outcome::kMismatched) {
      mViolations.push_back(record.mTag +
                            " received the answer to another request");
    }
    if (record.mOutcome == observed_outcome::kNotRun && runs > 0) {
      mViolations.push_back(record.mTag +
                            " was reported as not run, but was run");
    }
    if (record.mMethod == "POST" && runs > 1) {
      mViolations.push_back(
        absl::StrCat(record.mTag, " was run ", runs, " times"));
    }
    if (record.mOutcome == observed_outcome::kAnswered && runs == 0) {
      mViolations.push_back(record.mTag + " was answered, but never run");
    }
  }
}

} // namespace plantaindale
