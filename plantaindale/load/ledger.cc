#include "plantaindale/load/ledger.h"

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
  const auto place =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size()));
  return aSorted[std::min(place, aSorted.size() - 1)];
}

// One process of one server: what is lost with it ends with its last line.
std::string
ProcessOf(const run_line& aRun)
{
  return absl::StrCat(aRun.mServer, "#", aRun.mProcess, " ");
}

} // namespace

std::vector<run_line>
ReadRunLog(const std::string& aFile)
{
  std::vector<run_line> runs;
  std::ifstream input(aFile);
  std::string line;
  while (std::getline(input, line)) {
    std::istringstream words(line);
    run_line run;
    std::string epoch;
    words >> run.mWhat >> run.mAt >> run.mServer >> run.mShard >> epoch >>
      run.mTag >> run.mMethod;
    runs.push_back(std::move(run));
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  std::map<std::string, int> starts;
  for (run_line& run : runs) {
    starts[run.mServer] += run.mWhat == "start" ? 1 : 0;
    run.mProcess = starts[run.mServer];
  }
  return runs;
}

load_summary
Summarize(const std::vector<request_record>& aRecords)
{
  load_summary summary;
  std::vector<duration> took;
  instant first = instant::max();
  instant last = instant::min();
  for (const request_record& record : aRecords) {
    ++summary.mByOutcome[static_cast<std::size_t>(record.mOutcome)];
    first = std::min(first, record.mDue);
    last = std::max(last, record.mDone);
    if (record.mOutcome == seen_outcome::kAnswered) {
      took.push_back(record.Took());
    }
  }
  std::sort(took.begin(), took.end());
  summary.mMedian = Quantile(took, 0.5);
  summary.mP99 = Quantile(took, 0.99);
  summary.mP999 = Quantile(took, 0.999);
  summary.mLongest = took.empty() ? duration(0) : took.back();
  if (last > first) {
    const std::chrono::duration<double> time = last - first;
    summary.mAnsweredPerSecond =
      static_cast<double>(took.size()) / time.count();
  }
  return summary;
}

std::vector<duration>
UnavailableTimes(const std::vector<request_record>& aRecords,
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
    const bool counts = found != first_answer.end() && record.mDue >= aFrom &&
                        record.mOutcome == seen_outcome::kAnswered;
    if (counts) {
      found->second = std::min(found->second, record.mDone);
    }
  }
  std::vector<duration> times;
  for (const auto& [key, answer] : first_answer) {
    times.push_back(answer - aFrom);
  }
  std::sort(times.begin(), times.end());
  return times;
}

ledger::ledger(const std::vector<request_record>& aRecords,
               const std::vector<run_line>& aRuns)
{
  CheckOverlaps(aRuns);
  CheckOutcomes(aRecords, aRuns);
}

void
ledger::CheckOverlaps(const std::vector<run_line>& aRuns)
{
  // What runs for each shard, by server. A run without an end is one whose
  // process was lost with it; it ends with that process's last line.
  std::map<std::string, std::int64_t> last_line;
  std::map<std::string, std::int64_t> ends;
  for (const run_line& run : aRuns) {
    last_line[ProcessOf(run)] = run.mAt;
    if (run.mWhat == "end" || run.mWhat == "cut") {
      ends[ProcessOf(run) + run.mTag] = run.mAt;
    }
  }
  struct open_run
  {
    std::string mServer;
    std::string mTag;
    std::int64_t mEnd;
  };
  std::map<std::string, std::vector<open_run>> open;
  for (const run_line& run : aRuns) {
    if (run.mWhat == "over_slots") {
      mFaults.push_back("more than its slots at " + run.mServer);
    }
    if (run.mWhat != "begin" || run.mShard == "-") {
      continue;
    }
    std::vector<open_run>& others = open[run.mShard];
    std::erase_if(
      others, [&](const open_run& aOther) { return aOther.mEnd <= run.mAt; });
    for (const open_run& other : others) {
      if (other.mServer != run.mServer) {
        mFaults.push_back(absl::StrCat(run.mShard,
                                       " run by ",
                                       other.mServer,
                                       " (",
                                       other.mTag,
                                       ") and ",
                                       run.mServer,
                                       " (",
                                       run.mTag,
                                       ") at once"));
      }
    }
    const auto end = ends.find(ProcessOf(run) + run.mTag);
    const std::int64_t until =
      end == ends.end() ? last_line[ProcessOf(run)] : end->second;
    others.push_back({ run.mServer, run.mTag, until });
  }
}

void
ledger::CheckOutcomes(const std::vector<request_record>& aRecords,
                      const std::vector<run_line>& aRuns)
{
  std::map<std::string, int> begun;
  for (const run_line& run : aRuns) {
    begun[run.mTag] += run.mWhat == "begin" ? 1 : 0;
  }
  for (const request_record& record : aRecords) {
    const auto found = begun.find(record.mTag);
    const int runs = found == begun.end() ? 0 : found->second;
    if (record.mOutcome == seen_outcome::kCrossed) {
      mFaults.push_back(record.mTag + " got an answer that isn't its own");
    }
    if (record.mOutcome == seen_outcome::kNotRun && runs > 0) {
      mFaults.push_back(record.mTag + " was called not run, and was run");
    }
    if (record.mMethod == "POST" && runs > 1) {
      mFaults.push_back(absl::StrCat(record.mTag, " was run ", runs, " times"));
    }
    if (record.mOutcome == seen_outcome::kAnswered && runs == 0) {
      mFaults.push_back(record.mTag + " was answered, and never run");
    }
  }
}

} // namespace plantaindale
