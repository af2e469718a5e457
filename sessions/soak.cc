#include "sessions/soak.h"

#include <csignal>
#include <filesystem>
#include <memory>
#include <random>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/load/load_runner.h"
#include "sessions/loopback_proxy.h"
#include "sessions/process_cluster.h"

namespace plantaindale::sessions {
namespace {

// Ports of proxies lie above those of the cluster.
constexpr int kStorePorts = 500;
constexpr int kCallerPorts = 600;
// From one fault to the next; most last longer than this.
constexpr int kLongestPauseMs = 700;
constexpr int kLongestFaultMs = 2500;
constexpr int kLongestPauseOfProcessMs = 4000;
// Answers that show that the healed cluster serves again.
constexpr std::int64_t kAnswersAfterwards = 200;
constexpr std::chrono::seconds kRecoveryLimit{ 15 };

// The faults of one run.
class soak_run
{
public:
  explicit soak_run(const soak_settings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
    , mNodes(static_cast<std::size_t>(aSettings.mNodes))
  {
    process_settings cluster;
    cluster.mNodes = aSettings.mNodes;
    cluster.mBasePort = aSettings.mBasePort;
    cluster.mFolder =
      absl::StrCat(std::filesystem::temp_directory_path().string(),
                   "/plantaindale-soak-",
                   aSettings.mSeed);
    const auto address = [&](int aPort) {
      return absl::StrCat("127.0.0.1:", aSettings.mBasePort + aPort);
    };
    for (int node = 0; node < aSettings.mNodes; ++node) {
      mStoreLinks.push_back(std::make_unique<loopback_proxy>(
        address(kStorePorts + node), address(0)));
      cluster.mPlatforms.push_back(mStoreLinks.back()->Address());
    }
    mCluster = std::make_unique<process_cluster>(cluster);
    for (int node = 0; node < aSettings.mNodes; ++node) {
      mCallerLinks.push_back(std::make_unique<loopback_proxy>(
        address(kCallerPorts + node),
        mCluster->Entries()[static_cast<std::size_t>(node)]));
    }
  }

  soak_result Run()
  {
    if (!mCluster->AwaitServed()) {
      mResult.mFaults.push_back("the cluster never served before any fault");
      return std::move(mResult);
    }
    load_settings demand;
    for (const auto& link : mCallerLinks) {
      demand.mNodeAddresses.push_back(link->Address());
    }
    demand.mRate = 150;
    demand.mDuration = std::chrono::hours(1);
    demand.mKeys = 60;
    demand.mWorkMs = 4;
    demand.mDeadline = std::chrono::seconds(3);
    demand.mSeed = mSettings.mSeed;
    load_runner runner(demand);
    std::vector<request_record> records;
    std::thread load([&] { records = runner.Run(); });
    for (int step = 0; step < mSettings.mSteps; ++step) {
      HealDue();
      Step();
      Sleep(Within(kLongestPauseMs));
    }
    HealAll();
    CheckRecovery(runner);
    runner.Stop();
    load.join();
    Check(records);
    return std::move(mResult);
  }

private:
  struct node_state
  {
    bool mRuns = true;
    bool mIsPaused = false;
    bool mIsStopping = false;
    instant mHealAt = instant::max();
  };

  int Within(int aMost)
  {
    return std::uniform_int_distribution<int>(0, aMost)(mRandom);
  }
  static void Sleep(int aMilliseconds)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
  }
  void Say(std::string aLine) { mResult.mStory.push_back(std::move(aLine)); }

  void Step()
  {
    using action = void (soak_run::*)(int);
    static constexpr action kActions[] = {
      &soak_run::HarmStoreLink,  &soak_run::HarmStoreLink,
      &soak_run::HarmCallerLink, &soak_run::Pause,
      &soak_run::Pause,          &soak_run::KillNode,
      &soak_run::KillVm,         &soak_run::StopInOrder,
      &soak_run::Reload,         &soak_run::HarmStore
    };
    const int node = Within(mSettings.mNodes - 1);
    const auto choice = static_cast<std::size_t>(
      Within(static_cast<int>(std::size(kActions)) - 1));
    (this->*kActions[choice])(node);
  }

  node_state& StateOf(int aNode)
  {
    return mNodes[static_cast<std::size_t>(aNode)];
  }
  bool IsWhole(int aNode)
  {
    const node_state& state = StateOf(aNode);
    return state.mRuns && !state.mIsPaused && !state.mIsStopping;
  }
  static instant After(int aMilliseconds)
  {
    return boot_clock::now() + std::chrono::milliseconds(aMilliseconds);
  }

  link_harm AnyHarm()
  {
    static constexpr link_harm kHarms[] = { link_harm::kDelay,
                                            link_harm::kSilent,
                                            link_harm::kNoRequests,
                                            link_harm::kNoAnswers,
                                            link_harm::kReset };
    mHarmKind = Within(static_cast<int>(std::size(kHarms)) - 1);
    return kHarms[static_cast<std::size_t>(mHarmKind)];
  }

  void HarmStoreLink(int aNode)
  {
    mStoreLinks[static_cast<std::size_t>(aNode)]->SetHarm(AnyHarm());
    mLinksHealAt = After(Within(kLongestFaultMs));
    Say(absl::StrCat("store link of n", aNode, " harmed, kind ", mHarmKind));
  }

  void HarmCallerLink(int aNode)
  {
    mCallerLinks[static_cast<std::size_t>(aNode)]->SetHarm(AnyHarm());
    mLinksHealAt = After(Within(kLongestFaultMs));
    Say(absl::StrCat("callers' link of n", aNode, " harmed, kind ", mHarmKind));
  }

  void Pause(int aNode)
  {
    if (!IsWhole(aNode)) {
      return;
    }
    const bool is_whole_vm = Within(1) == 0;
    if (is_whole_vm) {
      mCluster->FreezeVm(aNode);
    } else {
      mCluster->FreezeNode(aNode);
    }
    StateOf(aNode).mIsPaused = true;
    StateOf(aNode).mHealAt = After(Within(kLongestPauseOfProcessMs));
    Say(absl::StrCat(is_whole_vm ? "VM of n" : "node n", aNode, " paused"));
  }

  void KillNode(int aNode)
  {
    if (!StateOf(aNode).mRuns || StateOf(aNode).mIsStopping) {
      return;
    }
    mCluster->KillNode(aNode);
    Say(absl::StrCat("node n", aNode, " killed"));
    Down(aNode);
  }

  void KillVm(int aNode)
  {
    if (!StateOf(aNode).mRuns || StateOf(aNode).mIsStopping) {
      return;
    }
    mCluster->KillVm(aNode);
    Say(absl::StrCat("VM of n", aNode, " killed"));
    Down(aNode);
  }

  void Down(int aNode)
  {
    if (StateOf(aNode).mIsPaused) {
      mCluster->Thaw(aNode); // a server beside a killed node may be paused
    }
    StateOf(aNode) = { false, false, false, After(Within(kLongestFaultMs)) };
  }

  void StopInOrder(int aNode)
  {
    if (!IsWhole(aNode)) {
      return;
    }
    mCluster->Terminate(aNode);
    StateOf(aNode).mIsStopping = true;
    StateOf(aNode).mHealAt = boot_clock::now();
    Say(absl::StrCat("node n", aNode, " told to stop"));
  }

  void Reload(int aNode)
  {
    if (IsWhole(aNode)) {
      kill(mCluster->NodeProcess(aNode), SIGHUP);
      Say(absl::StrCat("n", aNode, " told to reload"));
    }
  }

  void HarmStore(int)
  {
    static constexpr const char* kFaults[] = { R"({"outage":true})",
                                               R"({"lose_answers":3})",
                                               R"({"delay_ms":150})" };
    const char* fault = kFaults[static_cast<std::size_t>(Within(2))];
    mCluster->SetPlatformFault(fault);
    mStoreHealAt = After(Within(kLongestFaultMs));
    Say(absl::StrCat("store: ", fault));
  }

  void HealDue()
  {
    const instant now = boot_clock::now();
    for (int node = 0; node < mSettings.mNodes; ++node) {
      if (now >= StateOf(node).mHealAt) {
        Heal(node);
      }
    }
    if (now >= mLinksHealAt) {
      HealLinks();
    }
    if (now >= mStoreHealAt) {
      HealStore();
    }
  }

  void Heal(int aNode)
  {
    node_state& state = StateOf(aNode);
    if (state.mIsPaused) {
      mCluster->Thaw(aNode);
    } else if (state.mIsStopping && mCluster->AwaitExit(aNode) != 0) {
      mResult.mFaults.push_back(
        absl::StrCat("n", aNode, " didn't stop in order"));
    }
    mCluster->StartVm(aNode);
    state = {};
    Say(absl::StrCat("n", aNode, " healed"));
  }

  void HealLinks()
  {
    for (const auto* links : { &mStoreLinks, &mCallerLinks }) {
      for (const auto& link : *links) {
        link->SetHarm(link_harm::kNone);
      }
    }
    mLinksHealAt = instant::max();
  }

  void HealStore()
  {
    mCluster->SetPlatformFault(
      R"({"outage":false,"delay_ms":0,"lose_answers":0})");
    mStoreHealAt = instant::max();
  }

  void HealAll()
  {
    HealStore();
    HealLinks();
    for (int node = 0; node < mSettings.mNodes; ++node) {
      if (StateOf(node).mHealAt != instant::max()) {
        Heal(node);
      }
    }
    Say("all healed");
  }

  void CheckRecovery(const load_runner& aRunner)
  {
    const std::int64_t wanted = aRunner.Answered() + kAnswersAfterwards;
    const instant end = boot_clock::now() + kRecoveryLimit;
    while (aRunner.Answered() < wanted && boot_clock::now() < end) {
      Sleep(5);
    }
    if (aRunner.Answered() < wanted) {
      mResult.mFaults.push_back("not served again within 15 s");
    }
    if (!mCluster->AwaitServed()) {
      mResult.mFaults.push_back("keys without an owner after the troubles");
    }
  }

  void Check(const std::vector<request_record>& aRecords)
  {
    const history_checker checked(aRecords, ReadRunLog(mCluster->RunLog()));
    mResult.mFaults.insert(mResult.mFaults.end(),
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
  std::vector<node_state> mNodes;
  std::vector<std::unique_ptr<loopback_proxy>> mStoreLinks;
  std::vector<std::unique_ptr<loopback_proxy>> mCallerLinks;
  std::unique_ptr<process_cluster> mCluster;
  instant mLinksHealAt = instant::max();
  instant mStoreHealAt = instant::max();
  int mHarmKind = 0;
  soak_result mResult;
};

} // namespace

soak_result
RunSoak(const soak_settings& aSettings)
{
  return soak_run(aSettings).Run();
}

} // namespace plantaindale::sessions
