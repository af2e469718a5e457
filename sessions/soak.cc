#include "sessions/soak.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "sessions/caller_request.h"
#include "sessions/leaving_callers.h"
#include "sessions/loopback_proxy.h"
#include "sessions/process_cluster.h"

namespace plantaindale::sessions {
namespace {

// Proxy ports are mBasePort plus these, above the ports of the cluster.
constexpr int kStoreProxyPortOffset = 500;
constexpr int kCallerProxyPortOffset = 600;
// Longest time from one fault to the next. Most faults last longer, so that
// they overlap.
constexpr int kMaxStepIntervalMs = 700;
constexpr int kMaxFaultMs = 2500;
constexpr int kMaxProcessPauseMs = 4000;
// The cluster has recovered once this many requests have been answered within
// kRecoveryLimit after the faults end.
constexpr std::int64_t kRecoveryAnswers = 200;
constexpr std::chrono::seconds kRecoveryLimit{ 15 };
constexpr int kServerRestartMs = 400;
// Requests that end each server that runs them are sent this far apart at most.
constexpr int kMaxDeadlyIntervalMs = 500;
constexpr int kDeadlyRequests = 2;
constexpr std::string_view kDeadlyTag = "deadly";
// Within this time after a request has ended its third server, all nodes know;
// later, it may be run this often.
constexpr std::int64_t kVerdictUs = 3'000'000;
constexpr int kRunsAfterVerdict = 3;

// Requests that servers may begin long after their callers left.
constexpr int kMaxLateRuns = 3;

// One soak run: the cluster, its proxies and the faults in progress.
class soak_run
{
public:
  explicit soak_run(const soak_settings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
    , mServerRandom(aSettings.mSeed)
    , mEvacuationRandom(aSettings.mSeed)
    , mNodes(static_cast<std::size_t>(aSettings.mNodes))
  {
    process_cluster_settings cluster;
    cluster.mNodes = aSettings.mNodes;
    cluster.mBasePort = aSettings.mBasePort;
    cluster.mServerRestartMs = kServerRestartMs;
    cluster.mFolder =
      absl::StrCat(std::filesystem::temp_directory_path().string(),
                   "/plantaindale-soak-",
                   aSettings.mSeed);
    const auto address = [&](int aPort) {
      return absl::StrCat("127.0.0.1:", aSettings.mBasePort + aPort);
    };
    for (int node = 0; node < aSettings.mNodes; ++node) {
      mStoreProxies.push_back(std::make_unique<loopback_proxy>(
        address(kStoreProxyPortOffset + node), address(0)));
      cluster.mPlatformAddresses.push_back(mStoreProxies.back()->Address());
    }
    mCluster = std::make_unique<process_cluster>(cluster);
    for (int node = 0; node < aSettings.mNodes; ++node) {
      mCallerProxies.push_back(std::make_unique<loopback_proxy>(
        address(kCallerProxyPortOffset + node),
        mCluster->CallerAddresses()[static_cast<std::size_t>(node)]));
    }
  }

  soak_result Run()
  {
    mCluster->WriteOddObjects();
    if (!mCluster->AwaitServed()) {
      mResult.mFailures.push_back("shards were not all served within 60 s of "
                                  "the start, before any fault");
      return std::move(mResult);
    }
    load_settings load_config;
    for (const auto& link : mCallerProxies) {
      load_config.mNodeAddresses.push_back(link->Address());
    }
    load_config.mRate = 150;
    load_config.mDuration = std::chrono::hours(1);
    load_config.mKeys = 60;
    load_config.mWorkMs = 4;
    load_config.mDeadline = std::chrono::seconds(3);
    load_config.mSeed = mSettings.mSeed;
    load_runner runner(load_config);
    std::vector<request_record> records;
    std::thread load([&] { records = runner.Run(); });
    std::thread deadly([this] { SendDeadlyRequests(); });
    leaving_callers leaving(mCluster->CallerAddresses(), mSettings.mSeed);
    std::thread leavers([&] { leaving.Run(); });
    for (int step = 0; step < mSettings.mSteps; ++step) {
      EndExpiredFaults();
      InjectNextFault();
      MayRestartServer();
      MayEvacuate();
      Sleep(RandomUpTo(kMaxStepIntervalMs));
    }
    mIsDeadlyEnding = true;
    deadly.join();
    leaving.Stop();
    leavers.join();
    EndAllFaults();
    CheckRecovery(runner);
    runner.Stop();
    load.join();
    const auto runs = ReadRunLog(mCluster->RunLog());
    CheckHistory(records, runs);
    CheckDeadlyRuns(runs);
    CheckLateRuns(leaving, runs);
    return std::move(mResult);
  }

private:
  struct node_state
  {
    bool mIsAlive = true;
    bool mIsPaused = false;
    bool mIsStopping = false;
    instant mFaultEndTime = instant::max();
  };

  int RandomUpTo(int aUpperBound)
  {
    return std::uniform_int_distribution<int>(0, aUpperBound)(mRandom);
  }
  static void Sleep(int aMilliseconds)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
  }
  void AppendLog(std::string aLine)
  {
    mResult.mEventLog.push_back(std::move(aLine));
  }

  void InjectNextFault()
  {
    using action = void (soak_run::*)(int);
    static constexpr action kActions[] = { &soak_run::InjectStoreLinkFault,
                                           &soak_run::InjectStoreLinkFault,
                                           &soak_run::InjectCallerLinkFault,
                                           &soak_run::PauseProcess,
                                           &soak_run::PauseProcess,
                                           &soak_run::KillNode,
                                           &soak_run::KillVm,
                                           &soak_run::StopGracefully,
                                           &soak_run::ReloadSettings,
                                           &soak_run::InjectStoreFault };
    const int node = RandomUpTo(mSettings.mNodes - 1);
    const auto choice = static_cast<std::size_t>(
      RandomUpTo(static_cast<int>(std::size(kActions)) - 1));
    (this->*kActions[choice])(node);
  }

  node_state& StateOf(int aNode)
  {
    return mNodes[static_cast<std::size_t>(aNode)];
  }
  bool IsHealthy(int aNode)
  {
    const node_state& state = StateOf(aNode);
    return state.mIsAlive && !state.mIsPaused && !state.mIsStopping;
  }
  static instant FromNow(int aMilliseconds)
  {
    return boot_clock::now() + std::chrono::milliseconds(aMilliseconds);
  }

  link_fault RandomLinkFault()
  {
    static constexpr link_fault kLinkFaults[] = { link_fault::kDelay,
                                                  link_fault::kBlocked,
                                                  link_fault::kNoRequests,
                                                  link_fault::kNoResponses,
                                                  link_fault::kReset };
    mLinkFaultIndex = RandomUpTo(static_cast<int>(std::size(kLinkFaults)) - 1);
    return kLinkFaults[static_cast<std::size_t>(mLinkFaultIndex)];
  }

  void InjectStoreLinkFault(int aNode)
  {
    mStoreProxies[static_cast<std::size_t>(aNode)]->SetFault(RandomLinkFault());
    mLinkFaultEndTime = FromNow(RandomUpTo(kMaxFaultMs));
    AppendLog(absl::StrCat(
      "fault in the store link of n", aNode, ", kind ", mLinkFaultIndex));
  }

  void InjectCallerLinkFault(int aNode)
  {
    mCallerProxies[static_cast<std::size_t>(aNode)]->SetFault(
      RandomLinkFault());
    mLinkFaultEndTime = FromNow(RandomUpTo(kMaxFaultMs));
    AppendLog(absl::StrCat(
      "fault in the callers' link of n", aNode, ", kind ", mLinkFaultIndex));
  }

  void PauseProcess(int aNode)
  {
    if (!IsHealthy(aNode)) {
      return;
    }
    const bool is_whole_vm = RandomUpTo(1) == 0;
    if (is_whole_vm) {
      mCluster->FreezeVm(aNode);
      mPausedServers.insert(mCluster->ServerAddress(aNode));
    } else {
      mCluster->FreezeNode(aNode);
    }
    StateOf(aNode).mIsPaused = true;
    StateOf(aNode).mFaultEndTime = FromNow(RandomUpTo(kMaxProcessPauseMs));
    mNodesAway.insert(aNode);
    AppendLog(
      absl::StrCat(is_whole_vm ? "VM of n" : "node n", aNode, " paused"));
  }

  void KillNode(int aNode)
  {
    if (!StateOf(aNode).mIsAlive || StateOf(aNode).mIsStopping) {
      return;
    }
    mCluster->KillNode(aNode);
    AppendLog(absl::StrCat("node n", aNode, " killed"));
    MarkDown(aNode);
  }

  void KillVm(int aNode)
  {
    if (!StateOf(aNode).mIsAlive || StateOf(aNode).mIsStopping) {
      return;
    }
    mCluster->KillVm(aNode);
    AppendLog(absl::StrCat("VM of n", aNode, " killed"));
    MarkDown(aNode);
  }

  // Replaces a server by one at its address, beside the same node, in one of
  // five steps.
  void MayRestartServer()
  {
    const auto chosen = std::uniform_int_distribution<int>(
      0, 5 * mSettings.mNodes - 1)(mServerRandom);
    if (chosen < mSettings.mNodes && IsHealthy(chosen)) {
      mCluster->RestartServer(chosen);
      AppendLog(absl::StrCat("server of n", chosen, " restarted"));
    }
  }

  void MarkDown(int aNode)
  {
    mNodesAway.insert(aNode);
    if (StateOf(aNode).mIsPaused) {
      // The killed node's backend server may be frozen.
      mCluster->Unfreeze(aNode);
    }
    StateOf(aNode) = { false, false, false, FromNow(RandomUpTo(kMaxFaultMs)) };
  }

  void StopGracefully(int aNode)
  {
    if (!IsHealthy(aNode)) {
      return;
    }
    mCluster->Terminate(aNode);
    mNodesAway.insert(aNode);
    StateOf(aNode).mIsStopping = true;
    StateOf(aNode).mFaultEndTime = boot_clock::now();
    AppendLog(absl::StrCat("node n", aNode, " sent SIGTERM"));
  }

  void ReloadSettings(int aNode)
  {
    if (IsHealthy(aNode)) {
      mCluster->Reload(aNode);
      AppendLog(absl::StrCat("n", aNode, " sent SIGHUP"));
    }
  }

  // Evacuates the failure domain of one node, or of two, in one of four steps.
  void MayEvacuate()
  {
    const auto draw = [this](int aUpperBound) {
      return std::uniform_int_distribution<int>(0,
                                                aUpperBound)(mEvacuationRandom);
    };
    if (draw(3) != 0) {
      return;
    }
    const int node = draw(mSettings.mNodes - 1);
    std::vector<std::string> domains = { process_cluster::FailureDomainOf(
      node) };
    if (draw(1) == 0) {
      domains.push_back(process_cluster::FailureDomainOf(node + 1));
    }
    mCluster->SetEvacuated(domains);
    mEvacuationEndTime = FromNow(draw(kMaxFaultMs));
    AppendLog(absl::StrCat("evacuated: ", absl::StrJoin(domains, ", ")));
  }

  void EndEvacuation()
  {
    mCluster->SetEvacuated({});
    mEvacuationEndTime = instant::max();
    AppendLog("evacuation ended");
  }

  void InjectStoreFault(int)
  {
    static constexpr const char* kStoreFaults[] = { R"({"outage":true})",
                                                    R"({"silent":true})",
                                                    R"({"lose_answers":3})",
                                                    R"({"delay_ms":150})",
                                                    R"({"copy":true})" };
    const char* fault = kStoreFaults[static_cast<std::size_t>(RandomUpTo(4))];
    mCluster->SetPlatformFault(fault);
    mIsCopied = mIsCopied || fault == kStoreFaults[4];
    mStoreFaultEndTime = FromNow(RandomUpTo(kMaxFaultMs));
    AppendLog(absl::StrCat("store fault: ", fault));
  }

  void EndExpiredFaults()
  {
    const instant now = boot_clock::now();
    for (int node = 0; node < mSettings.mNodes; ++node) {
      if (now >= StateOf(node).mFaultEndTime) {
        RestoreNode(node);
      }
    }
    if (now >= mLinkFaultEndTime) {
      ClearLinkFaults();
    }
    if (now >= mStoreFaultEndTime) {
      ClearStoreFaults();
    }
    if (now >= mEvacuationEndTime) {
      EndEvacuation();
    }
  }

  void RestoreNode(int aNode)
  {
    node_state& state = StateOf(aNode);
    if (state.mIsPaused) {
      mCluster->Unfreeze(aNode);
    } else if (state.mIsStopping) {
      const int status = mCluster->AwaitExit(aNode);
      if (status != 0) {
        mResult.mFailures.push_back(absl::StrCat(
          "n", aNode, " did not exit with status 0 after SIGTERM: ", status));
      }
    }
    mCluster->StartVm(aNode);
    state = {};
    AppendLog(absl::StrCat("n", aNode, " restored"));
  }

  void ClearLinkFaults()
  {
    for (const auto* links : { &mStoreProxies, &mCallerProxies }) {
      for (const auto& link : *links) {
        link->SetFault(link_fault::kNone);
      }
    }
    mLinkFaultEndTime = instant::max();
  }

  void ClearStoreFaults()
  {
    mCluster->SetPlatformFault(
      R"({"outage":false,"silent":false,"delay_ms":0,"lose_answers":0})");
    mStoreFaultEndTime = instant::max();
    if (std::exchange(mIsCopied, false)) {
      mCluster->SetPlatformFault(R"({"restore":true})");
      AppendLog("store restored from the copy");
    }
  }

  void EndAllFaults()
  {
    ClearStoreFaults();
    ClearLinkFaults();
    // A restored store may have an evacuation that has ended.
    EndEvacuation();
    for (int node = 0; node < mSettings.mNodes; ++node) {
      if (StateOf(node).mFaultEndTime != instant::max()) {
        RestoreNode(node);
      }
    }
    AppendLog("all faults ended");
  }

  void CheckRecovery(const load_runner& aRunner)
  {
    const std::int64_t wanted = aRunner.Answered() + kRecoveryAnswers;
    const instant end = boot_clock::now() + kRecoveryLimit;
    while (aRunner.Answered() < wanted && boot_clock::now() < end) {
      Sleep(5);
    }
    if (aRunner.Answered() < wanted) {
      mResult.mFailures.push_back(
        "fewer than 200 requests answered within 15 s after the faults ended");
    }
    if (!mCluster->AwaitServed()) {
      mResult.mFailures.push_back(
        "shards were not all served within 60 s after the recovery check");
    }
  }

  // Sends the same few requests again and again, at any node.
  void SendDeadlyRequests() const
  {
    std::mt19937_64 random(mSettings.mSeed);
    const auto random_up_to = [&random](int aUpperBound) {
      return std::uniform_int_distribution<int>(0, aUpperBound)(random);
    };
    while (!mIsDeadlyEnding) {
      const int which = random_up_to(kDeadlyRequests - 1);
      const auto node = static_cast<std::size_t>(
        random_up_to(static_cast<int>(mCallerProxies.size()) - 1));
      CallNode(mCallerProxies[node]->Address(),
               { "GET",
                 absl::StrCat("/board/k", which, "/deadly"),
                 absl::StrCat(std::string(kDeadlyTag), which) });
      Sleep(random_up_to(kMaxDeadlyIntervalMs));
    }
  }

  // Each node that was away may have missed the ends and run the request once
  // more.
  void CheckDeadlyRuns(const std::vector<run_log_entry>& aRuns)
  {
    std::map<std::string, std::vector<std::int64_t>> ends;
    std::map<std::string, int> late_runs;
    for (const run_log_entry& run : aRuns) {
      if (!absl::StartsWith(run.mTag, std::string(kDeadlyTag))) {
        continue;
      }
      std::vector<std::int64_t>& of_request = ends[run.mTag];
      if (run.mEventName == "crash") {
        of_request.push_back(run.mTimeUs);
      } else if (run.mEventName == "begin" && of_request.size() >= 3) {
        late_runs[run.mTag] += run.mTimeUs > of_request[2] + kVerdictUs ? 1 : 0;
      }
    }
    const int allowed = kRunsAfterVerdict + static_cast<int>(mNodesAway.size());
    for (const auto& [tag, runs] : late_runs) {
      AppendLog(absl::StrCat(tag,
                             " ended ",
                             ends[tag].size(),
                             " servers and was run ",
                             runs,
                             " times later than 3 s after the third end"));
      if (runs > allowed) {
        mResult.mFailures.push_back(
          absl::StrCat(tag,
                       " was run ",
                       runs,
                       " times later than 3 s after its third end, expected ",
                       allowed,
                       " at most"));
      }
    }
  }

  // A server that was paused may begin late what had reached it before.
  void CheckLateRuns(const leaving_callers& aCallers,
                     const std::vector<run_log_entry>& aRuns)
  {
    int late = 0;
    for (const auto& one : aCallers.LateRuns(aRuns)) {
      const run_log_entry& run = *one.mRun;
      if (mPausedServers.contains(run.mServer)) {
        continue;
      }
      ++late;
      AppendLog(absl::StrCat(run.mTag,
                             " by ",
                             one.mNode,
                             ": sent at ",
                             ToMicros(one.mSentAt),
                             " us, left at ",
                             ToMicros(one.mLeftAt),
                             " us, began at ",
                             run.mTimeUs,
                             " us at ",
                             run.mServer));
    }
    AppendLog(absl::StrCat(aCallers.Sent(), " callers left"));
    if (late > kMaxLateRuns) {
      mResult.mFailures.push_back(
        absl::StrCat(late,
                     " requests were begun later than 500 ms after their "
                     "callers had left, expected ",
                     kMaxLateRuns,
                     " at most"));
    }
  }

  void CheckHistory(const std::vector<request_record>& aRecords,
                    const std::vector<run_log_entry>& aRuns)
  {
    const history_checker checked(aRecords, aRuns);
    mResult.mFailures.insert(mResult.mFailures.end(),
                             checked.Violations().begin(),
                             checked.Violations().end());
    for (const request_record& record : aRecords) {
      const bool is_answered = record.mOutcome == observed_outcome::kAnswered;
      mResult.mAnswered += is_answered ? 1 : 0;
      mResult.mNotAnswered += is_answered ? 0 : 1;
    }
  }

  soak_settings mSettings;
  std::mt19937_64 mRandom;
  // Of the restarts of servers, and of evacuations; the seeds of the tests
  // stand for the faults that mRandom draws.
  std::mt19937_64 mServerRandom;
  std::mt19937_64 mEvacuationRandom;
  std::vector<node_state> mNodes;
  std::vector<std::unique_ptr<loopback_proxy>> mStoreProxies;
  std::vector<std::unique_ptr<loopback_proxy>> mCallerProxies;
  std::unique_ptr<process_cluster> mCluster;
  instant mLinkFaultEndTime = instant::max();
  bool mIsCopied = false; // the store is restored from a copy at the end
  instant mStoreFaultEndTime = instant::max();
  instant mEvacuationEndTime = instant::max();
  int mLinkFaultIndex = 0;
  std::set<int> mNodesAway; // paused, killed or stopped at some time
  std::set<std::string> mPausedServers; // by address
  std::atomic<bool> mIsDeadlyEnding = false;
  soak_result mResult;
};

} // namespace

soak_result
RunSoak(const soak_settings& aSettings)
{
  return soak_run(aSettings).Run();
}

} // namespace plantaindale::sessions
