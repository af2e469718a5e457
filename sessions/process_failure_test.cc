// Runs load against the real programs while VMs are killed and frozen, the
// platform fails and nodes are stopped. history_checker then compares what
// callers observed with what the backend servers ran.
#include <algorithm>
#include <map>
#include <set>
#include <sys/wait.h>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/configuration/configuration_patch.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "plantaindale/net/http_call.h"
#include "sessions/process_cluster.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

namespace json = boost::json;

constexpr int kKeys = 60;
constexpr int kWarmUpAnswers = 60;

// A cluster under load, which runs until Finish().
class loaded_cluster
{
public:
  explicit loaded_cluster(process_cluster_settings aSettings,
                          int aWorkMs = 3,
                          double aRate = 250)
    : mCluster(std::move(aSettings))
    , mRunner(MakeLoadSettings(mCluster, aWorkMs, aRate))
  {
    BOOST_REQUIRE(mCluster.AwaitServed());
    mLoad = std::thread([this] { mRecords = mRunner.Run(); });
    AwaitAnswers(kWarmUpAnswers);
  }
  ~loaded_cluster()
  {
    if (mLoad.joinable()) {
      mRunner.Stop();
      mLoad.join();
    }
  }

  // Waits until `aCount` more requests have been answered.
  void AwaitAnswers(std::int64_t aCount)
  {
    const std::int64_t wanted = mRunner.Answered() + aCount;
    while (mRunner.Answered() < wanted) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  // Stops the load and checks the history of requests and runs.
  void Finish()
  {
    mRunner.Stop();
    mLoad.join();
    const auto runs = ReadRunLog(mCluster.RunLog());
    const history_checker checked(mRecords, runs);
    for (const std::string& violation : checked.Violations()) {
      BOOST_ERROR(violation);
    }
    mSummary = Summarize(mRecords);
    BOOST_TEST_MESSAGE("answered "
                       << Count(observed_outcome::kAnswered) << " not_run "
                       << Count(observed_outcome::kNotRun) << " unknown "
                       << Count(observed_outcome::kUnknown) << " broken "
                       << Count(observed_outcome::kBroken));
    BOOST_CHECK_GT(Count(observed_outcome::kAnswered), kWarmUpAnswers);
    PrintUnansweredRequests();
  }

  std::int64_t Count(observed_outcome aOutcome) const
  {
    return mSummary.mByOutcome[static_cast<std::size_t>(aOutcome)];
  }

  process_cluster mCluster;
  std::vector<request_record> mRecords;

private:
  // Prints up to four unanswered requests to help diagnose a failure; only
  // those with an unknown outcome if there are any.
  void PrintUnansweredRequests() const
  {
    int left = 4;
    for (const request_record& record : mRecords) {
      const bool is_worst = Count(observed_outcome::kUnknown) == 0 ||
                            record.mOutcome == observed_outcome::kUnknown;
      if (record.mOutcome != observed_outcome::kAnswered && is_worst &&
          left-- > 0) {
        BOOST_TEST_MESSAGE(
          record.mTag << " " << record.mMethod << " at " << record.mNodeAddress
                      << " took " << record.Latency().count() << " us, "
                      << ToText(record.mOutcome) << ": " << record.mDetail);
      }
    }
  }

  static load_settings MakeLoadSettings(const process_cluster& aCluster,
                                        int aWorkMs,
                                        double aRate)
  {
    load_settings load;
    load.mNodeAddresses = aCluster.CallerAddresses();
    load.mRate = aRate;
    load.mDuration = std::chrono::minutes(5);
    load.mKeys = kKeys;
    load.mWorkMs = aWorkMs;
    load.mDeadline = std::chrono::seconds(5);
    return load;
  }

  load_runner mRunner;
  std::thread mLoad;
  load_summary mSummary;
};

BOOST_AUTO_TEST_SUITE(real_processes)

BOOST_AUTO_TEST_CASE(a_killed_vm_is_taken_over_and_the_history_is_consistent)
{
  loaded_cluster loaded(MakeTestSettings(21000));
  loaded.mCluster.KillVm(1);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(300);
  loaded.mCluster.StartVm(1);
  BOOST_CHECK(loaded.mCluster.AwaitServed());
  loaded.AwaitAnswers(300);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(two_vms_killed_at_once_are_taken_over)
{
  loaded_cluster loaded(MakeTestSettings(21100));
  loaded.mCluster.KillVm(1);
  loaded.mCluster.KillVm(2);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(2));
  loaded.AwaitAnswers(300);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(a_frozen_vm_runs_no_stale_requests_after_resuming)
{
  loaded_cluster loaded(MakeTestSettings(21200), 40);
  loaded.mCluster.FreezeVm(1);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(300);
  loaded.mCluster.Unfreeze(1);
  BOOST_CHECK(loaded.mCluster.AwaitServed());
  loaded.AwaitAnswers(300);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(a_server_that_checks_fences_stops_when_its_node_is_frozen)
{
  // Each run of 2.5 s outlasts the detection of the node's loss.
  loaded_cluster loaded(MakeTestSettings(21300), 2500, 16);
  loaded.mCluster.FreezeNode(1);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(40);
  loaded.mCluster.Unfreeze(1);
  loaded.AwaitAnswers(20);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(
  a_server_without_fence_checks_stops_at_the_end_of_the_lease)
{
  process_cluster_settings settings = MakeTestSettings(21400);
  settings.mChecksFences = false;
  loaded_cluster loaded(settings, 40);
  loaded.mCluster.FreezeNode(1);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(300);
  loaded.mCluster.Unfreeze(1);
  loaded.AwaitAnswers(300);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(owners_keep_serving_during_a_platform_outage)
{
  loaded_cluster loaded(MakeTestSettings(21500));
  loaded.mCluster.SetPlatformFault(R"({"outage":true})");
  loaded.AwaitAnswers(1500); // 6 s of load, which spans several leases
  loaded.mCluster.SetPlatformFault(R"({"outage":false})");
  loaded.AwaitAnswers(100);
  loaded.Finish();
  BOOST_CHECK_EQUAL(loaded.Count(observed_outcome::kNotRun), 0);
  BOOST_CHECK_EQUAL(loaded.Count(observed_outcome::kUnknown), 0);
  BOOST_CHECK_EQUAL(loaded.Count(observed_outcome::kBroken), 0);
}

BOOST_AUTO_TEST_CASE(
  a_killed_vm_is_taken_over_while_platform_responses_are_lost)
{
  loaded_cluster loaded(MakeTestSettings(21600));
  loaded.mCluster.SetPlatformFault(R"({"lose_answers":4,"delay_ms":100})");
  loaded.mCluster.KillVm(1);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(300);
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(a_planned_stop_fails_no_request_and_aborts_no_upload)
{
  loaded_cluster loaded(MakeTestSettings(21700));
  const auto keys = loaded.mCluster.KeysOf(1, kKeys);
  BOOST_REQUIRE(!keys.empty());
  // A 4 s request through another node for a key that node 1 owns.
  absl::StatusOr<http_response> answer = absl::UnknownError("not run");
  std::thread upload([&] {
    load_settings upload_load;
    upload_load.mNodeAddresses = { loaded.mCluster.CallerAddresses()[0] };
    upload_load.mPathPrefix = "/board/" + keys.front() + "/";
    upload_load.mRate = 1;
    upload_load.mDuration = std::chrono::milliseconds(1100);
    upload_load.mPostFraction = 1;
    upload_load.mWorkMs = 4000;
    upload_load.mSeed = 99;
    const auto records = load_runner(upload_load).Run();
    answer = http_response{
      records.front().mOutcome == observed_outcome::kAnswered ? 200 : 0,
      records.front().mDetail
    };
  });
  loaded.AwaitAnswers(400); // lets the upload start
  loaded.mCluster.Terminate(1);
  BOOST_CHECK_EQUAL(loaded.mCluster.AwaitExit(1), 0);
  upload.join();
  BOOST_REQUIRE(answer.ok());
  BOOST_CHECK_EQUAL(answer->mStatus, 200);
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  loaded.AwaitAnswers(100);
  loaded.Finish();
  BOOST_CHECK_EQUAL(loaded.Count(observed_outcome::kUnknown), 0);
  BOOST_CHECK_EQUAL(loaded.Count(observed_outcome::kBroken), 0);
  // Only requests sent to the stopped node itself may fail.
  const std::string stopped_address = loaded.mCluster.CallerAddresses()[1];
  for (const request_record& record : loaded.mRecords) {
    BOOST_CHECK_MESSAGE(record.mOutcome == observed_outcome::kAnswered ||
                          record.mNodeAddress == stopped_address,
                        "request "
                          << record.mTag << " at " << record.mNodeAddress
                          << ": expected an answer, got "
                          << ToText(record.mOutcome) << ": " << record.mDetail);
  }
}

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_configuration_patches_wins)
{
  process_cluster cluster(MakeTestSettings(21800));
  int wins = 0;
  int stale = 0;
  std::vector<absl::Status> results(2);
  std::vector<std::thread> operators;
  for (std::size_t i = 0; i < results.size(); ++i) {
    operators.emplace_back([&, i] {
      RunWithStore(cluster.PlatformAddress(), [&](object_store& aStore) {
        const auto change = boost::json::parse(absl::StrCat(
          R"({"services":{"board":{"deadline_ms":)", 1000 + i, "}}}"));
        results[i] =
          SubmitPatch(aStore, { 1, absl::StrCat("operator", i), change })
            .status();
        return 0;
      });
    });
  }
  for (std::thread& operator_thread : operators) {
    operator_thread.join();
  }
  for (const absl::Status& result : results) {
    wins += result.ok() ? 1 : 0;
    stale += absl::IsFailedPrecondition(result) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(wins, 1);
  BOOST_CHECK_EQUAL(stale, 1);
}

BOOST_AUTO_TEST_CASE(
  a_configuration_written_after_a_silence_of_the_platform_is_in_force_in_time)
{
  process_cluster cluster(MakeTestSettings(24000));
  BOOST_REQUIRE(cluster.AwaitServed());
  const auto nodes_with = [&](std::string_view aMetric) {
    int count = 0;
    for (int node = 0; node < 5; ++node) {
      const auto metrics =
        HttpCallBlocking({ cluster.AdminAddress(node), "GET", "/metrics", "" });
      count +=
        metrics.ok() && metrics->mBody.find(aMetric) != std::string::npos;
    }
    return count;
  };
  cluster.SetPlatformFault(R"({"silent":true})");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  cluster.SetPlatformFault(R"({"silent":false})");
  const instant end = boot_clock::now();
  RunWithStore(cluster.PlatformAddress(), [&](object_store& aStore) {
    const auto change =
      boost::json::parse(R"({"services":{"board":{"deadline_ms":1000}}})");
    BOOST_REQUIRE(SubmitPatch(aStore, { 1, "second", change }).ok());
    return 0;
  });
  while (nodes_with("plantaindale_configuration_number 2\n") < 5 &&
         boot_clock::now() < end + std::chrono::seconds(10)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const duration took = boot_clock::now() - end;
  BOOST_TEST(took.count() < 3'000'000);
}

BOOST_AUTO_TEST_CASE(odd_objects_of_another_program_stop_no_node)
{
  loaded_cluster loaded(MakeTestSettings(24700));
  process_cluster& cluster = loaded.mCluster;
  std::vector<pid_t> processes;
  for (int node = 0; node < 5; ++node) {
    processes.push_back(cluster.NodeProcess(node));
  }
  cluster.WriteOddObjects();
  // A node that starts lists the objects; the others read them as changes.
  cluster.KillVm(1);
  BOOST_CHECK(cluster.AwaitServedWithout(1));
  cluster.StartVm(1);
  processes[1] = cluster.NodeProcess(1);
  BOOST_CHECK(cluster.AwaitServed());
  cluster.OverwriteObject(std::string(kNodeKind), "n2");
  cluster.OverwriteObject(std::string(kShardPageKind), "board.0");
  cluster.KillVm(3);
  // Reads the platform, so the record and the page have been written again.
  BOOST_CHECK(cluster.AwaitServedWithout(3));
  const auto view = cluster.View();
  BOOST_REQUIRE(view.ok());
  BOOST_CHECK(view->FindNode("n2") != nullptr);
  BOOST_CHECK(view->FindNode("odd0") == nullptr);
  loaded.AwaitAnswers(200);
  for (int node = 0; node < 5; ++node) {
    const pid_t process = processes[static_cast<std::size_t>(node)];
    BOOST_CHECK(node == 3 || waitpid(process, nullptr, WNOHANG) == 0);
  }
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(owners_that_a_restored_platform_has_lost_stay_the_owners)
{
  loaded_cluster loaded(MakeTestSettings(24200));
  loaded.mCluster.SetPlatformFault(R"({"copy":true})");
  loaded.mCluster.KillVm(1);
  BOOST_REQUIRE(loaded.mCluster.AwaitServedWithout(1));
  const auto keys_of_2 = [&] {
    const auto keys = loaded.mCluster.KeysOf(2, kKeys);
    return std::set<std::string>(keys.begin(), keys.end());
  };
  const auto owners = keys_of_2();
  loaded.mCluster.SetPlatformFault(R"({"restore":true})");
  // Read from the platform, so the nodes have written the owners again.
  BOOST_CHECK(loaded.mCluster.AwaitServedWithout(1));
  const auto restored = keys_of_2();
  BOOST_CHECK(std::includes(
    restored.begin(), restored.end(), owners.begin(), owners.end()));
  loaded.AwaitAnswers(1500); // beyond the time in which nobody takes over
  loaded.Finish();
}

BOOST_AUTO_TEST_CASE(control_work_of_a_hand_over_does_not_grow_with_its_shards)
{
  process_cluster_settings settings = MakeTestSettings(22700);
  settings.mNodes = 2;
  settings.mShards = 1024;
  process_cluster cluster(settings);
  BOOST_REQUIRE(cluster.AwaitServed());
  const auto count = [&](const char* aWork) {
    const auto dump =
      HttpCallBlocking({ cluster.AdminAddress(0), "GET", "/dump", "" });
    BOOST_REQUIRE(dump.ok());
    const json::value work = json::parse(dump->mBody).at("work");
    return work.at("kinds").at(aWork).at("count").to_number<std::int64_t>();
  };
  const std::int64_t snapshots = count("publish_snapshot");
  const std::int64_t grants = count("update_grants");
  const auto view = cluster.View();
  BOOST_REQUIRE(view.ok() && view->FindNode("n0")->mServer);
  const announced_server server = *view->FindNode("n0")->mServer;
  json::object leaving{ { "service", "board" },
                        { "address", server.mAddress },
                        { "instance", server.mInstance },
                        { "started_at", server.mStartedAt },
                        { "slots", settings.mSlots },
                        { "connections", settings.mSlots },
                        { "leaving", true } };
  const auto announced = HttpCallBlocking(
    { cluster.AdminAddress(0), "POST", "/announce", json::serialize(leaving) });
  BOOST_REQUIRE(announced.ok());
  BOOST_REQUIRE(cluster.AwaitServedWithout(0));
  // About 512 shards leave the node.
  BOOST_TEST(count("publish_snapshot") - snapshots < 100);
  BOOST_TEST(count("update_grants") - grants < 100);
}

BOOST_AUTO_TEST_CASE(a_server_gets_no_more_requests_than_it_allows)
{
  constexpr double kRateLimit = 12;
  constexpr std::int64_t kWindowUs = 4'000'000;
  process_cluster_settings settings = MakeTestSettings(23000);
  settings.mNodes = 3;
  settings.mRateLimit = kRateLimit;
  loaded_cluster cluster(settings);
  std::this_thread::sleep_for(std::chrono::seconds(9));
  cluster.Finish();
  std::map<std::string, std::vector<std::int64_t>> begins;
  for (const run_log_entry& run : ReadRunLog(cluster.mCluster.RunLog())) {
    if (run.mEventName == "begin") {
      begins[run.mServer].push_back(run.mTimeUs);
    }
  }
  // One and a half times the limit and 5 requests, in any window that begins
  // 3 s after the limit was named.
  const auto allowed = static_cast<std::ptrdiff_t>(kRateLimit * 4 * 1.5 + 5);
  BOOST_CHECK_EQUAL(begins.size(), 3u);
  for (const auto& [server, times] : begins) {
    for (const std::int64_t start : times) {
      if (start < times.front() + 3'000'000) {
        continue;
      }
      const auto in_window =
        std::count_if(times.begin(), times.end(), [&](std::int64_t aTime) {
          return aTime >= start && aTime < start + kWindowUs;
        });
      BOOST_REQUIRE_LE(in_window, allowed);
    }
  }
}

// Nodes 1 and 4 are in the evacuated failure domain.
BOOST_AUTO_TEST_CASE(nodes_killed_during_an_evacuation_send_nothing_there)
{
  constexpr std::int64_t kBoundUs = 5'000'000;
  loaded_cluster loaded(MakeTestSettings(24900));
  process_cluster& cluster = loaded.mCluster;
  const std::string domain = process_cluster::FailureDomainOf(1);
  std::set<std::string> servers;
  for (const char* node : { "n1", "n4" }) {
    const auto view = cluster.View();
    BOOST_REQUIRE(view.ok() && view->FindNode(node)->mServer);
    servers.insert(view->FindNode(node)->mServer->mAddress);
  }
  const auto operator_call = [&](const std::string& aCommand) {
    BOOST_REQUIRE_EQUAL(
      RunCommandLine(
        { aCommand, "--platform", cluster.PlatformAddress(), domain }),
      0);
    return ToMicros(boot_clock::now());
  };
  const std::int64_t evacuated_at = operator_call("evacuate");
  BOOST_CHECK(cluster.AwaitServedWithout(1));
  BOOST_CHECK(cluster.AwaitServedWithout(4));
  // One that routes to the domain, and one beside a server in it.
  cluster.KillNode(0);
  cluster.KillNode(1);
  loaded.AwaitAnswers(200);
  cluster.StartVm(0);
  cluster.StartVm(1);
  while (ToMicros(boot_clock::now()) < evacuated_at + kBoundUs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  loaded.AwaitAnswers(500);
  const std::int64_t ended_at = ToMicros(boot_clock::now());
  operator_call("unevacuate");
  BOOST_CHECK(cluster.AwaitServed());
  loaded.AwaitAnswers(300);
  loaded.Finish();
  int runs_before = 0;
  int runs_during = 0;
  int runs_after = 0;
  for (const run_log_entry& run : ReadRunLog(cluster.RunLog())) {
    const bool is_there =
      run.mEventName == "begin" && servers.contains(run.mServer);
    const bool is_late = run.mTimeUs > evacuated_at + kBoundUs;
    runs_before += is_there && run.mTimeUs < evacuated_at ? 1 : 0;
    runs_during += is_there && is_late && run.mTimeUs < ended_at ? 1 : 0;
    runs_after += is_there && run.mTimeUs > ended_at ? 1 : 0;
  }
  BOOST_CHECK_GT(runs_before, 0);
  BOOST_CHECK_EQUAL(runs_during, 0);
  BOOST_CHECK_GT(runs_after, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
