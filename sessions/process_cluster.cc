#include "sessions/process_cluster.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/configuration/configuration_patch.h"
#include "plantaindale/net/http_call.h"
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

// Whether the process blocks or handles the signal, or has ended. Before main()
// it does neither.
bool
HasBegunOrEnded(pid_t aProcess, int aSignal)
{
  std::ifstream status(absl::StrCat("/proc/", aProcess, "/status"));
  std::uint64_t blocked = 0;
  std::uint64_t caught = 0;
  bool is_running = false;
  bool is_node = false; // and no longer the copy of this process
  for (std::string name; status >> name;) {
    if (name == "Name:") {
      std::string program;
      status >> program;
      is_node = program == "plantaindale";
    } else if (name == "State:") {
      std::string state;
      status >> state;
      is_running = state != "Z" && state != "X";
    } else if (name == "SigBlk:") {
      status >> std::hex >> blocked >> std::dec;
    } else if (name == "SigCgt:") {
      status >> std::hex >> caught >> std::dec;
    }
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << (aSignal - 1);
  return !is_running || (is_node && ((blocked | caught) & bit) != 0);
}

void
KillProcess(pid_t& aProcess)
{
  if (aProcess > 0) {
    kill(aProcess, SIGKILL);
    waitpid(aProcess, nullptr, 0);
  }
  aProcess = 0;
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
  mPlatform = Start("platform", { "platform_stand_in", PlatformAddress() });
  Await([&] { return View().ok(); });
  SubmitConfiguration();
  for (int node = 0; node < mSettings.mNodes; ++node) {
    WriteSettings(node);
    StartVm(node);
  }
}

process_cluster::~process_cluster()
{
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
process_cluster::AdminAddress(int aNode) const
{
  return Address(aNode, 3);
}

pid_t
process_cluster::Start(const std::string& aName,
                       std::vector<std::string> aCommand)
{
  aCommand[0] = std::string(BUILD_FOLDER) + "/" + aCommand[0];
  const std::string log = mSettings.mFolder + "/" + aName + ".log";
  const pid_t child = fork();
  if (child != 0) {
    return child;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  std::vector<char*> arguments;
  for (std::string& word : aCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void
process_cluster::WriteSettings(int aNode)
{
  const std::string times =
    mSettings.mGraceMs > 0
      ? absl::StrCat("times:\n  grace: ", mSettings.mGraceMs, "ms\n")
      : "";
  std::ofstream(absl::StrCat(mSettings.mFolder, "/n", aNode, ".yaml"))
    << "name: n" << aNode << "\nregion: khangai\nfailure_domain: soum-"
    << aNode % 3 << "\nplatform: "
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
    R"("},"services":{"board":{"path_prefix":"/board/","deadline_ms":120000,)",
    R"("shards":)",
    mSettings.mShards,
    R"(,"key":{"path_segment":1}}}})");
  RunWithStore(PlatformAddress(), [&](object_store& aStore) {
    (void)SubmitPatch(aStore, { 0, "first", boost::json::parse(text) });
    return 0;
  });
}

void
process_cluster::StartVm(int aNode)
{
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  const std::string name = absl::StrCat("n", aNode);
  if (machine.mNode == 0) {
    machine.mNode = Start(name,
                          { "plantaindale",
                            "serve",
                            "--settings",
                            mSettings.mFolder + "/" + name + ".yaml" });
  }
  if (machine.mServer == 0) {
    std::vector<std::string> command{ "backend_server_stand_in",
                                      "--listen",
                                      Address(aNode, 4),
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
                                      "--run-log",
                                      RunLog() };
    if (mSettings.mChecksFences) {
      command.push_back("--checks-fences");
    }
    machine.mServer = Start("server" + name, std::move(command));
  }
}

void
process_cluster::KillVm(int aNode)
{
  vm& machine = mVms[static_cast<std::size_t>(aNode)];
  kill(machine.mServer, SIGKILL);
  KillProcess(machine.mNode);
  KillProcess(machine.mServer);
}

void
process_cluster::KillNode(int aNode)
{
  KillProcess(mVms[static_cast<std::size_t>(aNode)].mNode);
}

void
process_cluster::FreezeVm(int aNode)
{
  kill(mVms[static_cast<std::size_t>(aNode)].mServer, SIGSTOP);
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
  const vm& machine = mVms[static_cast<std::size_t>(aNode)];
  kill(machine.mNode, SIGCONT);
  kill(machine.mServer, SIGCONT);
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
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
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
  // Every running node must also own a shard, which shows that it has joined.
  return Await([&] {
    if (!IsServed(-1)) {
      return false;
    }
    for (int node = 0; node < mSettings.mNodes; ++node) {
      const vm& machine = mVms[static_cast<std::size_t>(node)];
      if (machine.mNode != 0 && KeysOf(node, mSettings.mShards * 8).empty()) {
        return false;
      }
    }
    return true;
  });
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
