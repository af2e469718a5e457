#include "sessions/process_cluster.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/wait.h>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/configuration/configuration_patch.h"
#include "plantaindale/evacuation/evacuation_list.h"
#include "plantaindale/net/http_call.h"
#include "sessions/child_process.h"
#include <boost/json.hpp>

namespace plantaindale::sessions {
namespace {

constexpr std::chrono::seconds kWaitTimeout{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 5 };
constexpr int kPortsPerNode = 10;

bool
Await(const std::function<bool()>& aCondition)
{
  const instant end = boot_clock::now() + kWaitTimeout;
  while (boot_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

} // namespace

process_cluster_settings
MakeTestSettings(int aBasePort)
{
  process_cluster_settings settings;
  settings.mBasePort = aBasePort;
  settings.mFolder =
    absl::StrCat(std::filesystem::temp_directory_path().string(),
                 "/plantaindale-test-",
                 aBasePort);
  return settings;
}

process_cluster::process_cluster(process_cluster_settings aSettings)
  : mSettings(std::move(aSettings))
  , mVms(static_cast<std::size_t>(mSettings.mNodes))
{
  std::filesystem::remove_all(mSettings.mFolder);
  std::filesystem::create_directories(mSettings.mFolder);
  mPlatform = StartProcess({ "platform_stand_in", PlatformAddress() },
                           mSettings.mFolder + "/platform.log");
  Await([&] { return View().ok(); });
  SubmitConfiguration();
  for (int node = 0; node < mSettings.mNodes; ++node) {
    WriteSettings(node);
    StartVm(node);
  }
  if (mSettings.mServerRestartMs >= 0) {
    mWatcher = std::thread([this] { WatchServers(); });
  }
}

process_cluster::~process_cluster()
{
  mIsEnding = true;
  if (mWatcher.joinable()) {
    mWatcher.join();
  }
  for (vm& machine : mVms) {
    KillProcess(machine.mNode);
    KillProcess(machine.mServer);
  }
  KillProcess(mPlatform);
}

std::string
process_cluster::PlatformAddress() const
{
  return absl::StrCat("127.0.0.1:", mSettings.mBasePort);
}

std::string
process_cluster::Address(int aNode, int aPort) const
{
  const int port = mSettings.mBasePort + (aNode + 1) * kPortsPerNode + aPort;
  return absl::StrCat("127.0.0.1:", port);
}

std::string
process_cluster::ServerAddress(int aNode) const
{
  return Address(aNode, 4);
}

std::string
process_cluster::AdminAddress(int aNode) const
{
  return Address(aNode, 3);
}

void
process_cluster::WriteSettings(int aNode)
{
  const std::string times =
    mSettings.mGraceMs > 0
      ? absl::StrCat("times:\n  grace: ", mSettings.mGraceMs, "ms\n")
      : "";
  std::ofstream(absl::StrCat(mSettings.mFolder, "/n", aNode, ".yaml"))
    << "name: n" << aNode
    << "\nregion: khangai\nfailure_domain: " << FailureDomainOf(aNode)
    << "\nplatform: "
    << (mSettings.mPlatformAddresses.empty()
          ? PlatformAddress()
          : mSettings.mPlatformAddresses[static_cast<std::size_t>(aNode)])
    << "\nlisten:\n  caller: " << Address(aNode, 0)
    << "\n  peer: " << Address(aNode, 1) << "\n  control: " << Address(aNode, 2)
    << "\n  admin: " << Address(aNode, 3) << "\n"
    << times;
}

void
process_cluster::SubmitConfiguration()
{
  const std::string text = absl::StrCat(
    R"({"lease":{"mode":")",
    mSettings.mRenewInPlatform ? "platform" : "witnesses",
    R"("},"services":{"board":{"path_prefix":"/board/","deadline_ms":120000)",
    mSettings.mShards == 0
      ? ""
      : absl::StrCat(R"(,"shards":)",
                     mSettings.mShards,
                     R"(,"key":{"path_segment":1,"numbers":)",
                     mSettings.mNumericKeys,
                     "}"),
    "}}",
    mSettings.mHasLargeResponses
      ? R"(,"routes":{"large":{"host":"a","path_prefix":"/board/",)"
        R"("targets":{"board":1},"timeout_ms":120000,)"
        R"("large_responses":true}})"
      : "",
    "}");
  RunWithStore(PlatformAddress(), [&](object_store& aStore) {
    (void)SubmitPatch(aStore, { 0, "first", boost::json::parse(text) });
    return 0;
  });
}

void
process_cluster::StartVm(int aNode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  const std::string name = absl::StrCat("n", aNode);
  if (machine.mNode == 0) {
    machine.mNode = StartProcess({ "plantaindale",
                                   "serve",
                                   "--settings",
                                   mSettings.mFolder + "/" + name + ".yaml" },
                                 mSettings.mFolder + "/" + name + ".log");
  }
  if (machine.mServer == 0) {
    StartServer(aNode);
  }
}

void
process_cluster::StartServer(int aNode)
{
  std::vector<std::string> command{
    "backend_server_stand_in",
    "--listen",
    ServerAddress(aNode),
    "--announce-to",
    AdminAddress(aNode),
    "--service",
    "board",
    "--slots",
    absl::StrCat(mSettings.mSlots),
    "--cold-ms",
    absl::StrCat(mSettings.mColdStartMs),
    "--rate-limit",
    absl::StrCat(mSettings.mRateLimit),
    "--announce-delay-ms",
    absl::StrCat(mSettings.mAnnounceDelayMs),
    "--run-log",
    RunLog(),
  };
  if (mSettings.mChecksFences) {
    command.push_back("--checks-fences");
  }
  if (mSettings.mKeepsGrants) {
    command.push_back("--keeps-grants");
  }
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  machine.mServerDue = instant::max();
  machine.mServer =
    StartProcess(std::move(command),
                 absl::StrCat(mSettings.mFolder, "/servern", aNode, ".log"));
}

void
process_cluster::WatchServers()
{
  const std::chrono::milliseconds pause(mSettings.mServerRestartMs);
  while (!mIsEnding) {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (int node = 0; node < mSettings.mNodes; ++node) {
        vm& machine = mVms[static_cast<std::size_t>(node)];
        if (HasEnded(machine.mServer)) {
          machine.mServerDue = boot_clock::now() + pause;
        }
        if (!machine.mIsFrozen && boot_clock::now() >= machine.mServerDue) {
          StartServer(node);
        }
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
process_cluster::KillServer(int aNode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  SignalProcess(mVms[static_cast<std::size_t>(aNode)].mServer, SIGKILL);
}

void
process_cluster::RestartServer(int aNode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  KillProcess(mVms[static_cast<std::size_t>(aNode)].mServer);
  StartServer(aNode);
}

void
process_cluster::KillVm(int aNode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  SignalProcess(machine.mServer, SIGKILL);
  KillProcess(machine.mNode);
  KillProcess(machine.mServer);
  machine.mServerDue = instant::max();
}

void
process_cluster::KillNode(int aNode)
{
  KillProcess(mVms[static_cast<std::size_t>(aNode)].mNode);
}

void
process_cluster::FreezeVm(int aNode)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    vm& machine = mVms[static_cast<std::size_t>(aNode)];
    machine.mIsFrozen = true;
    SignalProcess(machine.mServer, SIGSTOP);
  }
  FreezeNode(aNode);
}

void
process_cluster::FreezeNode(int aNode)
{
  const pid_t node = mVms[static_cast<std::size_t>(aNode)].mNode;
  kill(node, SIGSTOP);
  // Threads of the process may run on until all of them have stopped.
  int status = 0;
  waitpid(node, &status, WUNTRACED);
}

void
process_cluster::Unfreeze(int aNode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  machine.mIsFrozen = false;
  SignalProcess(machine.mNode, SIGCONT);
  SignalProcess(machine.mServer, SIGCONT);
}

void
process_cluster::SetPlatformFault(const std::string& aJson)
{
  (void)HttpCallBlocking(
    { PlatformAddress(), "PUT", "/stand-in/faults", aJson });
}

void
process_cluster::WriteUnchecked(const std::string& aKind,
                                const std::string& aName,
                                const std::string& aBody)
{
  const auto answer =
    HttpCallBlocking({ PlatformAddress(),
                       "PUT",
                       absl::StrCat("/stand-in/objects/", aKind, "/", aName),
                       aBody });
  if (!answer.ok() || answer->mStatus != 200) {
    std::abort(); // a test without its odd objects would show nothing
  }
}

void
process_cluster::WriteOddObjects()
{
  node_record record;
  record.mIdentity = MakeIdentity("odd", 1);
  record.mAddresses.mControl = "127.0.0.1:70000";
  record.mAddresses.mPeer = "127.0.0.1:70000";
  record.mServer = announced_server{ "board", "127.0.0.1:70000", 12 };
  const std::string bad_port = Serialize(record);
  record.mAddresses = {};
  record.mServer->mAddress = "127.0.0.1:1";
  record.mIdentity.incarnation = std::numeric_limits<std::int64_t>::max();
  const std::string large_number = Serialize(record);
  const std::vector<std::string> bodies = {
    std::string(50'000, '[') + std::string(50'000, ']'),
    bad_port,
    large_number,
    R"({"identity":{"name":"odd","incarnation":1e400}})",
    R"({"identity":{"name":7}})",
    "[]",
    "null",
    "99999999999999999999",
    "\"\xff\xfe\"",
  };
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    for (const std::string_view kind : { kNodeKind, kShardPageKind }) {
      WriteUnchecked(std::string(kind), absl::StrCat("odd", i), bodies[i]);
    }
  }
  WriteUnchecked("odd-kind", "odd", bodies[0]);
  WriteUnchecked(std::string(kShardPageKind),
                 "board.9",
                 R"({"service":"board","page":9,"owners":[["odd",1]],)"
                 R"("runs":[[0,9223372036854775807,4]]})");
}

void
process_cluster::OverwriteObject(const std::string& aKind,
                                 const std::string& aName)
{
  WriteUnchecked(
    aKind, aName, std::string(50'000, '[') + std::string(50'000, ']'));
}

void
process_cluster::SetEvacuated(const std::vector<std::string>& aDomains)
{
  WriteUnchecked(std::string(kEvacuationKind),
                 std::string(kEvacuationName),
                 MakeEvacuationObject({ 0, aDomains }).body);
}

std::string
process_cluster::FailureDomainOf(int aNode)
{
  return absl::StrCat("soum-", aNode % 3);
}

void
process_cluster::Terminate(int aNode)
{
  Signal(aNode, SIGTERM);
}

void
process_cluster::Reload(int aNode)
{
  Signal(aNode, SIGHUP);
}

void
process_cluster::Signal(int aNode, int aSignal)
{
  const pid_t process = NodeProcess(aNode);
  Await([&] { return HasBegunOrEnded(process, aSignal); });
  kill(process, aSignal);
}

int
process_cluster::AwaitExit(int aNode)
{
  pid_t& process = mVms[static_cast<std::size_t>(aNode)].mNode;
  int status = 0;
  const bool ended =
    Await([&] { return waitpid(process, &status, WNOHANG) == process; });
  if (!ended) {
    return -1;
  }
  process = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kEndedBySignal + WTERMSIG(status);
}

absl::StatusOr<cluster_view>
process_cluster::View() const
{
  return ReadClusterView(PlatformAddress());
}

bool
process_cluster::IsServed(int aIgnoredNode) const
{
  const auto view = View();
  if (!view.ok()) {
    return false;
  }
  for (int shard = 0; shard < mSettings.mShards; ++shard) {
    const shard_entry* entry = view->FindEntry({ "board", shard });
    const bool is_served =
      entry != nullptr && view->IsActiveIncarnation(entry->mOwner) &&
      entry->mOwner.name != absl::StrCat("n", aIgnoredNode);
    if (!is_served) {
      return false;
    }
  }
  return true;
}

bool
process_cluster::AwaitServed()
{
  return Await([&] {
    if (!IsServed(-1)) {
      return false;
    }
    for (int node = 0; node < mSettings.mNodes; ++node) {
      if (NodeProcess(node) != 0 && !HasJoined(node)) {
        return false;
      }
    }
    return true;
  });
}

// A node that owns a shard has joined.
bool
process_cluster::HasJoined(int aNode) const
{
  if (mSettings.mShards > 0) {
    return !KeysOf(aNode, mSettings.mShards * 8).empty();
  }
  const auto view = View();
  const node_record* record =
    view.ok() ? view->FindNode(absl::StrCat("n", aNode)) : nullptr;
  return record != nullptr && record->AcceptsWork("board");
}

bool
process_cluster::AwaitServedWithout(int aNode)
{
  return Await([&] { return IsServed(aNode); });
}

std::vector<std::string>
process_cluster::CallerAddresses() const
{
  std::vector<std::string> entries;
  for (int node = 0; node < mSettings.mNodes; ++node) {
    entries.push_back(Address(node, 0));
  }
  return entries;
}

std::string
process_cluster::RunLog() const
{
  return mSettings.mFolder + "/runs.txt";
}

std::vector<std::string>
process_cluster::KeysOf(int aNode, int aCount) const
{
  std::vector<std::string> keys;
  const auto view = View();
  for (int i = 1; view.ok() && i <= aCount; ++i) {
    const std::string key = absl::StrCat("k", i);
    const shard_entry* entry =
      view->FindEntry({ "board", ShardOfKey(key, mSettings.mShards) });
    if (entry != nullptr && entry->mOwner.name == absl::StrCat("n", aNode)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::string
process_cluster::PlatformCalls() const
{
  const auto answer =
    HttpCallBlocking({ PlatformAddress(), "GET", "/stand-in/calls", "" });
  return answer.ok() ? answer->mBody : "";
}

pid_t
process_cluster::NodeProcess(int aNode) const
{
  return mVms[static_cast<std::size_t>(aNode)].mNode;
}

} // namespace plantaindale::sessions
