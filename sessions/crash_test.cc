// Runs load against the real programs while backend servers end by themselves:
// under a request that ends each server that runs it, or by chance.
#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "sessions/caller_request.h"
#include "sessions/process_cluster.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 4;
constexpr int kKeys = 60;
constexpr seconds kEndsLimit{ 30 };
// Within this time after the third end all nodes know that the request ends
// servers.
constexpr seconds kVerdictTime{ 3 };
constexpr int kRunsAfterVerdict = 3;
constexpr std::string_view kDeadlyTag = "deadly.";

process_cluster_settings
CrashSettings(int aBasePort)
{
  process_cluster_settings settings = MakeTestSettings(aBasePort);
  settings.mNodes = kNodes;
  settings.mServerRestartMs = 500;
  return settings;
}

// The times of the lines of deadly requests, in order.
std::vector<instant>
DeadlyLines(const process_cluster& aCluster, std::string_view aEventName)
{
  std::vector<instant> times;
  for (const run_log_entry& run : ReadRunLog(aCluster.RunLog())) {
    if (run.mEventName == aEventName &&
        absl::StartsWith(run.mTag, std::string(kDeadlyTag))) {
      times.push_back(FromMicros(run.mTimeUs));
    }
  }
  return times;
}

// Returns when the deadly request has ended `aCount` servers.
instant
AwaitEnds(const process_cluster& aCluster, std::size_t aCount)
{
  const instant limit = boot_clock::now() + kEndsLimit;
  for (;;) {
    const std::vector<instant> ends = DeadlyLines(aCluster, "crash");
    if (ends.size() >= aCount) {
      return ends[aCount - 1];
    }
    BOOST_REQUIRE_MESSAGE(boot_clock::now() < limit,
                          "expected " << aCount << " ends of servers, got "
                                      << ends.size());
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Sends one request again and again at each node. Every second attempt has an
// idempotency key of its own.
class deadly_callers
{
public:
  deadly_callers(const process_cluster& aCluster, call_request aRequest)
    : mRequest(std::move(aRequest))
  {
    for (const std::string& address : aCluster.CallerAddresses()) {
      mThreads.emplace_back([this, address] { Send(address); });
    }
  }
  deadly_callers(const deadly_callers&) = delete;
  deadly_callers& operator=(const deadly_callers&) = delete;
  ~deadly_callers()
  {
    mIsEnding = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

private:
  void Send(const std::string& aAddress)
  {
    for (int attempt = 0; !mIsEnding; ++attempt) {
      call_request request = mRequest;
      const std::string id = absl::StrCat(aAddress, "/", attempt);
      request.mTag = std::string(kDeadlyTag) + id;
      request.mIdempotencyKey = attempt % 2 == 0 ? id : "";
      CallNode(aAddress, request);
      std::this_thread::sleep_for(milliseconds(200));
    }
  }

  call_request mRequest;
  std::atomic<bool> mIsEnding = false;
  std::vector<std::thread> mThreads;
};

// Ordinary requests for all keys, and the same request for k1 so often that
// one of them runs at most times.
class popular_load
{
public:
  explicit popular_load(const process_cluster& aCluster)
    : mCluster(aCluster)
    , mOrdinary(Settings(aCluster, kKeys, 1))
    , mPopular(Settings(aCluster, 1, 2))
    , mThreads{ std::thread([this] { mRecords = mOrdinary.Run(); }),
                std::thread([this] { mPopularRecords = mPopular.Run(); }) }
  {
    while (mOrdinary.Answered() < kKeys || mPopular.Answered() < kKeys) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  popular_load(const popular_load&) = delete;
  popular_load& operator=(const popular_load&) = delete;
  ~popular_load() { Stop(); }

  // Checks that no request was refused as one that ends servers, that 95% of
  // those sent within `aLast` of now are answered, and the history.
  void Finish(duration aLast)
  {
    const instant end = boot_clock::now();
    Stop();
    mRecords.insert(
      mRecords.end(), mPopularRecords.begin(), mPopularRecords.end());
    std::int64_t refused = 0;
    double sent = 0;
    double answered = 0;
    for (const request_record& record : mRecords) {
      refused += absl::StrContains(record.mDetail, "crashes_servers") ? 1 : 0;
      if (record.mScheduledAt >= end - aLast && record.mScheduledAt < end) {
        ++sent;
        answered += record.mOutcome == observed_outcome::kAnswered ? 1 : 0;
      }
    }
    const history_checker checked(mRecords, ReadRunLog(mCluster.RunLog()));
    for (const std::string& violation : checked.Violations()) {
      BOOST_ERROR(violation);
    }
    BOOST_TEST_MESSAGE("of " << mRecords.size() << " requests " << refused
                             << " refused as crashing; at last " << answered
                             << " of " << sent << " answered");
    BOOST_TEST(refused == 0);
    BOOST_TEST(answered >= 0.95 * sent);
  }

private:
  static load_settings Settings(const process_cluster& aCluster,
                                int aKeys,
                                std::uint64_t aSeed)
  {
    load_settings load;
    load.mNodeAddresses = aCluster.CallerAddresses();
    load.mRate = 100;
    load.mDuration = std::chrono::minutes(5);
    load.mKeys = aKeys;
    load.mPostFraction = aKeys == 1 ? 0 : 0.3;
    load.mWorkMs = aKeys == 1 ? 20 : 3;
    load.mDeadline = seconds(3);
    load.mSeed = aSeed;
    return load;
  }

  void Stop()
  {
    mOrdinary.Stop();
    mPopular.Stop();
    for (std::thread& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  const process_cluster& mCluster;
  load_runner mOrdinary;
  load_runner mPopular;
  std::vector<request_record> mRecords;
  std::vector<request_record> mPopularRecords;
  std::thread mThreads[2];
};

// Checks the rule for a request that is sent until 8 s after the third end.
void
CheckRunsAfterThirdEnd(const process_cluster& aCluster, call_request aDeadly)
{
  popular_load load(aCluster);
  {
    const deadly_callers callers(aCluster, std::move(aDeadly));
    const instant third = AwaitEnds(aCluster, 3);
    std::this_thread::sleep_until(third + kVerdictTime + seconds(5));
    const auto begins = DeadlyLines(aCluster, "begin");
    const auto late =
      std::count_if(begins.begin(), begins.end(), [&](instant aBegin) {
        return aBegin > third + kVerdictTime;
      });
    BOOST_TEST_MESSAGE("ran " << begins.size() << " times and ended "
                              << DeadlyLines(aCluster, "crash").size()
                              << " servers");
    BOOST_TEST(late <= kRunsAfterVerdict);
    load.Finish(seconds(3));
  }
}

// The node that owns the shard of k1.
int
OwnerOfPopularKey(const process_cluster& aCluster)
{
  for (int node = 0; node < kNodes; ++node) {
    if (!aCluster.KeysOf(node, 1).empty()) {
      return node;
    }
  }
  BOOST_FAIL("k1 has no owner");
  return 0;
}

// Waits up to 10 s until the node answers callers.
bool
AwaitAnyAnswer(const std::string& aAddress)
{
  const instant end = boot_clock::now() + std::chrono::seconds(10);
  while (boot_clock::now() < end) {
    if (CallNode(aAddress, { "GET", "/none", "" }).mStatus != 0) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(request_that_ends_servers)

BOOST_AUTO_TEST_CASE(with_a_key_and_a_body_stops_after_the_third_end)
{
  process_cluster cluster(CrashSettings(32000));
  BOOST_REQUIRE(cluster.AwaitServed());
  CheckRunsAfterThirdEnd(
    cluster, { "POST", "/board/k1/deadly?of=3", "", "a body that is sent" });
}

BOOST_AUTO_TEST_CASE(without_a_key_stops_after_the_third_end)
{
  process_cluster_settings settings = CrashSettings(32100);
  settings.mShards = 0;
  process_cluster cluster(settings);
  BOOST_REQUIRE(cluster.AwaitServed());
  CheckRunsAfterThirdEnd(cluster, { "GET", "/board/deadly", "" });
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_by_a_node_that_was_away)
{
  process_cluster cluster(CrashSettings(32200));
  BOOST_REQUIRE(cluster.AwaitServed());
  const int owner = OwnerOfPopularKey(cluster);
  const int away = (owner + 1) % kNodes;
  const call_request deadly{ "GET", "/board/k1/deadly", "" };
  auto callers = std::make_unique<deadly_callers>(cluster, deadly);
  AwaitEnds(cluster, 1);
  cluster.KillNode(away);
  std::this_thread::sleep_until(AwaitEnds(cluster, 3) + kVerdictTime);
  cluster.StartVm(away);
  BOOST_CHECK(cluster.AwaitServed());
  callers.reset();
  for (const int node : { away, owner }) {
    if (node == owner) {
      cluster.KillNode(owner);
      cluster.StartVm(owner);
      BOOST_CHECK(cluster.AwaitServed());
    }
    // The map may still name the process that was killed.
    BOOST_REQUIRE(AwaitAnyAnswer(
      cluster.CallerAddresses()[static_cast<std::size_t>(node)]));
    BOOST_TEST_CONTEXT("node n" << node << ", owner n" << owner)
    {
      const std::size_t runs = DeadlyLines(cluster, "begin").size();
      const call_answer answer = CallNode(
        cluster.CallerAddresses()[static_cast<std::size_t>(node)], deadly);
      BOOST_TEST(answer.mStatus == 503);
      BOOST_TEST(answer.mOutcome == "not-run");
      BOOST_TEST(answer.IsRefusedAsCrashing());
      BOOST_TEST(answer.mTook.count() < 1'000'000);
      BOOST_TEST(DeadlyLines(cluster, "begin").size() == runs);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(popular_request_is_not_blamed_for_servers_that_are_killed)
{
  constexpr int kKills = 12;
  process_cluster_settings settings = CrashSettings(32300);
  settings.mServerRestartMs = 200;
  process_cluster cluster(settings);
  BOOST_REQUIRE(cluster.AwaitServed());
  popular_load load(cluster);
  std::mt19937 random(1); // NOLINT(cert-msc51-cpp): the same kills each time
  for (int kill = 0; kill < kKills; ++kill) {
    const int owner = OwnerOfPopularKey(cluster);
    const int other = std::uniform_int_distribution<int>(0, kNodes - 1)(random);
    cluster.KillServer(kill % 2 == 0 ? owner : other);
    std::this_thread::sleep_for(
      milliseconds(std::uniform_int_distribution<int>(300, 900)(random)));
  }
  std::this_thread::sleep_for(seconds(3));
  load.Finish(seconds(2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
