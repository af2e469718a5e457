// Measures how long keys are unavailable after their owner is killed, frozen or
// drained, or their shards are moved. Each trial injects one fault into a
// cluster under load and takes, for each key that the affected VM owned, the
// time until it is answered again.
//
//   bench_unavailability FOLDER TRIALS CASE...
//   cases: kill freeze kill-platform-leases drain move
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "plantaindale/net/http_call.h"
#include "sessions/process_cluster.h"

namespace plantaindale::bench {
namespace {

using std::chrono::milliseconds;

constexpr int kKeys = 48;
constexpr int kVictim = 1;
constexpr int kConcurrentTrials = 5;
constexpr milliseconds kWarmUp{ 1500 };
constexpr milliseconds kObservationTime{ 5000 };

struct result
{
  std::vector<duration> mTimes; // of each affected key
  std::int64_t mFailed = 0;     // unanswered requests
  std::size_t mViolationCount = 0;
};

load_settings
MakeLoadSettings(const sessions::process_cluster& aCluster, bool aWithVictim)
{
  load_settings load;
  load.mNodeAddresses = aCluster.CallerAddresses();
  if (!aWithVictim) {
    load.mNodeAddresses.erase(load.mNodeAddresses.begin() + kVictim);
  }
  load.mRate = 1000;
  load.mDuration = kWarmUp + kObservationTime;
  load.mKeys = kKeys;
  load.mDeadline = std::chrono::seconds(4);
  return load;
}

void
InjectFault(sessions::process_cluster& aCluster,
            const std::string& aCase,
            const std::vector<std::string>& aKeys)
{
  if (aCase == "freeze") {
    aCluster.FreezeVm(kVictim);
  } else if (aCase == "drain") {
    aCluster.Terminate(kVictim);
  } else if (aCase == "move") {
    for (const std::string& key : aKeys) {
      const std::string target = absl::StrCat(
        "/move?service=board&shard=", ShardOfKey(key, 24), "&to=n2");
      (void)HttpCallBlocking(
        { aCluster.AdminAddress(kVictim), "POST", target, "" });
    }
  } else {
    aCluster.KillVm(kVictim);
  }
}

result
RunTrial(const std::string& aFolder, const std::string& aCase, int aTrial)
{
  sessions::process_cluster_settings settings;
  settings.mFolder = aFolder;
  settings.mBasePort = 23000 + 100 * (aTrial % 10);
  settings.mColdStartMs = 200;
  settings.mRenewInPlatform = aCase == "kill-platform-leases";
  sessions::process_cluster cluster(settings);
  if (!cluster.AwaitServed()) {
    return {};
  }
  load_runner runner(MakeLoadSettings(cluster, false));
  std::vector<request_record> records;
  std::thread load([&] { records = runner.Run(); });
  std::this_thread::sleep_for(kWarmUp);
  const auto keys = cluster.KeysOf(kVictim, kKeys);
  const instant fault_time = boot_clock::now();
  InjectFault(cluster, aCase, keys);
  load.join();
  result trial;
  trial.mTimes = MeasureUnavailability(
    records, keys, fault_time, fault_time + kObservationTime);
  for (const request_record& record : records) {
    trial.mFailed += record.mOutcome == observed_outcome::kAnswered ? 0 : 1;
  }
  trial.mViolationCount =
    history_checker(records, ReadRunLog(cluster.RunLog())).Violations().size();
  return trial;
}

void
Measure(const std::string& aFolder, int aTrials, const std::string& aCase)
{
  std::vector<duration> all;
  std::vector<duration> worst;
  std::int64_t failed = 0;
  std::size_t faults = 0;
  for (int first = 0; first < aTrials; first += kConcurrentTrials) {
    std::vector<result> batch(kConcurrentTrials);
    std::vector<std::thread> trials;
    for (int i = 0; i < kConcurrentTrials; ++i) {
      trials.emplace_back([&, i] {
        const int trial = first + i;
        batch[static_cast<std::size_t>(i)] =
          RunTrial(absl::StrCat(aFolder, "/", aCase, trial), aCase, trial);
      });
    }
    for (std::thread& trial : trials) {
      trial.join();
    }
    for (const result& trial_result : batch) {
      all.insert(
        all.end(), trial_result.mTimes.begin(), trial_result.mTimes.end());
      if (!trial_result.mTimes.empty()) {
        worst.push_back(trial_result.mTimes.back());
      }
      failed += trial_result.mFailed;
      faults += trial_result.mViolationCount;
    }
  }
  std::sort(all.begin(), all.end());
  std::sort(worst.begin(), worst.end());
  const auto at = [](const std::vector<duration>& aSorted, double aShare) {
    const auto place = static_cast<std::size_t>(
      aShare * static_cast<double>(aSorted.size() - 1));
    return static_cast<double>(aSorted[place].count()) / 1000;
  };
  const auto in_time =
    std::count_if(worst.begin(), worst.end(), [](duration aTime) {
      return aTime <= std::chrono::seconds(3);
    });
  std::printf("%-22s %6zu %6zu %8.0f %8.0f %8.0f %7zd/%zu %8lld %7zu\n",
              aCase.c_str(),
              worst.size(),
              all.size(),
              at(all, 0.5),
              at(all, 0.99),
              at(all, 1),
              static_cast<std::size_t>(in_time),
              worst.size(),
              static_cast<long long>(failed),
              faults);
  std::fflush(stdout);
}

} // namespace
} // namespace plantaindale::bench

int
main(int argc, char** argv)
{
  if (argc < 4) {
    std::printf("usage: bench_unavailability FOLDER TRIALS CASE...\n");
    return 2;
  }
  std::printf("case                   trials   keys   p50_ms   p99_ms   max_ms "
              "within_3s   failed  faults\n");
  for (int i = 3; i < argc; ++i) {
    plantaindale::bench::Measure(argv[1], std::atoi(argv[2]), argv[i]);
  }
  return 0;
}
