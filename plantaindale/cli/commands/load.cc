// Implements `plantaindale load`.
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
  option_parser options("Sends requests at a constant rate and checks every "
                        "answer. With a run log of the backend servers, also "
                        "checks which requests were run.",
                        std::move(aArguments));
  auto& entries = options.AddString(
    "entries", "caller addresses of nodes, separated by commas", true, "");
  auto& prefix =
    options.AddString("prefix", "path prefix before the key", false, "/board/");
  auto& rate = options.AddInteger("rate", "requests per second", false, 100);
  auto& seconds =
    options.AddInteger("seconds", "duration of the load", false, 5);
  auto& keys =
    options.AddInteger("keys", "number of distinct keys", false, 100);
  auto& zipf =
    options.AddString("zipf",
                      "exponent of the Zipf distribution of keys; 0: uniform",
                      false,
                      "0");
  auto& hot =
    options.AddInteger("hot-change-s",
                       "interval at which the hot keys change; 0: never",
                       false,
                       0);
  auto& posts = options.AddInteger(
    "posts-percent", "percentage of POST requests", false, 30);
  auto& body =
    options.AddInteger("body-bytes", "body size of a POST request", false, 100);
  auto& answer = options.AddInteger(
    "answer-bytes", "body size of a GET answer; 0: server default", false, 0);
  auto& work =
    options.AddInteger("work-ms", "processing time at the server", false, 0);
  auto& connections = options.AddInteger(
    "connections", "maximum number of connections", false, 200);
  auto& pipelined = options.AddInteger(
    "pipeline",
    "maximum number of GET requests sent at once on a connection",
    false,
    1);
  auto& deadline =
    options.AddInteger("deadline-ms", "deadline of each request", false, 10000);
  auto& seed =
    options.AddInteger("seed", "seed of the random generator", false, 1);
  auto& runs =
    options.AddString("run-log", "run log of the backend servers", false, "");
  auto& log = options.AddString(
    "records", "output file with one line per request", false, "");
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
  settings.mPipelined = static_cast<int>(pipelined.getValue());
  settings.mDeadline = std::chrono::milliseconds(deadline.getValue());
  settings.mSeed = static_cast<std::uint64_t>(seed.getValue());
  const auto records = load_runner(settings).Run();
  if (log.isSet()) {
    WriteRecords(log.getValue(), records);
  }
  boost::json::object report = ToJson(Summarize(records));
  int code = kExitSuccess;
  if (runs.isSet()) {
    const history_checker checker(records, ReadRunLog(runs.getValue()));
    boost::json::array violations;
    for (const std::string& violation : checker.Violations()) {
      violations.push_back(boost::json::value(violation));
    }
    code = violations.empty() ? kExitSuccess : kExitFailed;
    report["ledger_faults"] = std::move(violations);
  }
  std::cout << PrettyPrint(report);
  return code;
}

} // namespace plantaindale
