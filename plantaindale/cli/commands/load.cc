// `plantaindale load`: sends load, and checks every answer.
#include <fstream>
#include <iostream>

#include "absl/strings/str_split.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "plantaindale/observe/state_dump.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

boost::json::object
ToJson(const load_summary& aSummary)
{
  boost::json::object outcomes;
  for (std::size_t kind = 0; kind < std::size(aSummary.mByOutcome); ++kind) {
    outcomes[ToText(static_cast<observed_outcome>(kind))] =
      aSummary.mByOutcome[kind];
  }
  return { { "outcomes", outcomes },
           { "answered_per_second", aSummary.mAnsweredPerSecond },
           { "p50_us", aSummary.mP50.count() },
           { "p99_us", aSummary.mP99.count() },
           { "p999_us", aSummary.mP999.count() },
           { "max_us", aSummary.mMaxLatency.count() } };
}

void
WriteRecords(const std::string& aFile,
             const std::vector<request_record>& aRecords)
{
  std::ofstream output(aFile);
  for (const request_record& record : aRecords) {
    output << record.mTag << " " << record.mKey << " " << record.mMethod << " "
           << ToMicros(record.mScheduledAt) << " "
           << ToMicros(record.mCompletedAt) << " " << ToText(record.mOutcome)
           << " " << record.mNodeAddress << "\n";
  }
}

} // namespace

int
RunLoad(command_arguments aArguments)
{
  option_parser options("Sends load at a steady rate, and checks every answer; "
                        "with a run log, what was run too.",
                        std::move(aArguments));
  auto& entries = options.AddString(
    "entries", "nodes' caller addresses, by commas", true, "");
  auto& prefix =
    options.AddString("prefix", "path before the key", false, "/board/");
  auto& rate = options.AddInteger("rate", "requests a second", false, 100);
  auto& seconds = options.AddInteger("seconds", "how long", false, 5);
  auto& keys = options.AddInteger("keys", "different keys", false, 100);
  auto& zipf =
    options.AddString("zipf", "exponent of the keys' demand", false, "0");
  auto& hot =
    options.AddInteger("hot-change-s", "hot keys change; 0: never", false, 0);
  auto& posts =
    options.AddInteger("posts-percent", "posts among them", false, 30);
  auto& body = options.AddInteger("body-bytes", "body of a post", false, 100);
  auto& answer =
    options.AddInteger("answer-bytes", "of a read; 0: notices", false, 0);
  auto& work = options.AddInteger("work-ms", "time at the server", false, 0);
  auto& connections =
    options.AddInteger("connections", "at the most", false, 200);
  auto& deadline =
    options.AddInteger("deadline-ms", "callers wait", false, 10000);
  auto& seed = options.AddInteger("seed", "of the demand", false, 1);
  auto& runs = options.AddString("run-log", "backend servers' log", false, "");
  auto& log = options.AddString("records", "file for each request", false, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  load_settings settings;
  settings.mNodeAddresses = absl::StrSplit(entries.getValue(), ',');
  settings.mPathPrefix = prefix.getValue();
  settings.mRate = static_cast<double>(rate.getValue());
  settings.mDuration = std::chrono::seconds(seconds.getValue());
  settings.mKeys = static_cast<int>(keys.getValue());
  settings.mZipfExponent = std::atof(zipf.getValue().c_str());
  settings.mHotKeyInterval = std::chrono::seconds(hot.getValue());
  settings.mPostFraction = static_cast<double>(posts.getValue()) / 100;
  settings.mBodyBytes = static_cast<int>(body.getValue());
  settings.mAnswerBytes = static_cast<int>(answer.getValue());
  settings.mWorkMs = static_cast<int>(work.getValue());
  settings.mMaxConnections = static_cast<int>(connections.getValue());
  settings.mDeadline = std::chrono::milliseconds(deadline.getValue());
  settings.mSeed = static_cast<std::uint64_t>(seed.getValue());
  const auto records = load_runner(settings).Run();
  if (log.isSet()) {
    WriteRecords(log.getValue(), records);
  }
  boost::json::object report = ToJson(Summarize(records));
  int code = kExitSuccess;
  if (runs.isSet()) {
    const history_checker checked(records, ReadRunLog(runs.getValue()));
    boost::json::array faults;
    for (const std::string& fault : checked.Violations()) {
      faults.push_back(boost::json::value(fault));
    }
    code = faults.empty() ? kExitSuccess : kExitFailed;
    report["ledger_faults"] = std::move(faults);
  }
  std::cout << PrettyPrint(report);
  return code;
}

} // namespace plantaindale
