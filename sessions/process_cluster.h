// process_cluster runs the real programs on loopback addresses: a platform
// stand-in and, for each simulated VM, a node and a backend server stand-in. It
// kills, freezes and stops them for failure tests and benchmarks.
//
//   process_cluster cluster({ .mNodes = 5, .mFolder = folder });
//   cluster.AwaitServed();
//   cluster.KillVm(2);
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include "plantaindale/membership/cluster_view.h"

namespace plantaindale::sessions {

struct process_cluster_settings
{
  int mNodes = 5;
  int mShards = 24; // 0: requests have no keys
  int mColdStartMs = 0;
  bool mChecksFences = true;
  bool mKeepsGrants = false; // servers run only keys that are granted to them
  int mNumericKeys = 0;      // keys are numbers below; 0: any text
  int mAnnounceDelayMs = 0;  // of a backend server that has started
  int mServerRestartMs = -1; // servers that end by themselves are started
                             // again after this time; negative: never
  bool mRenewInPlatform = false; // instead of witnesses, as a baseline
  int mSlots = 12;
  bool mHasLargeResponses = false; // the route of host `a`
  double mRateLimit = 0;           // that every backend server names; 0: none
  int mGraceMs = 0;      // from SIGTERM to the end of a node; 0: the default
  int mBasePort = 20000; // for the platform; 10 more for each node
  std::string mFolder;   // for settings and logs; deleted and created anew
  // The platform address given to each node, such as a proxy's. If empty, nodes
  // connect to the platform directly.
  std::vector<std::string> mPlatformAddresses = {};
};

// Added to the number of a signal.
inline constexpr int kEndedBySignal = 128;

// Settings for a test, with a folder of its own.
process_cluster_settings
MakeTestSettings(int aBasePort);

// Kills all processes that it started when it is destroyed.
class process_cluster
{
public:
  explicit process_cluster(process_cluster_settings aSettings);
  process_cluster(const process_cluster&) = delete;
  process_cluster& operator=(const process_cluster&) = delete;
  ~process_cluster();

  // Commands.
  void KillVm(int aNode); // the node and its backend server
  void KillNode(int aNode);
  // The backend server alone: started again as if it had ended by itself, or at
  // once.
  void KillServer(int aNode);
  void RestartServer(int aNode);
  void StartVm(int aNode);
  void FreezeVm(int aNode);
  void FreezeNode(int aNode);
  void Unfreeze(int aNode);
  void SetPlatformFault(const std::string& aJson);
  // Writes objects to the platform as another program might: deeply nested,
  // with numbers and ports out of range, and with members missing or mistyped.
  // None names a node that exists.
  void WriteOddObjects();
  // Replaces an object by content that can't be read.
  void OverwriteObject(const std::string& aKind, const std::string& aName);
  // Evacuates exactly these failure domains, as the operator does; also during
  // an outage.
  void SetEvacuated(const std::vector<std::string>& aDomains);
  // Sends SIGTERM to the node for a planned stop, or SIGHUP; both wait until
  // its process has begun to hold or handle signals.
  void Terminate(int aNode);
  void Reload(int aNode);

  // Queries that wait up to 60 s for a condition; false if it did not hold.
  // All shards have an active owner, and every running node owns some.
  bool AwaitServed();
  // All shards have an active owner other than `aNode`.
  bool AwaitServedWithout(int aNode);
  // Waits for the node's process and returns its exit code; kEndedBySignal plus
  // the signal that ended it; -1 if it did not end within 60 s.
  int AwaitExit(int aNode);

  static std::string FailureDomainOf(int aNode);
  // The nodes' addresses for callers.
  std::vector<std::string> CallerAddresses() const;
  // File to which the backend servers log their runs.
  std::string RunLog() const;
  std::string PlatformAddress() const;
  std::string AdminAddress(int aNode) const;
  std::string ServerAddress(int aNode) const;
  // The keys among k1 to k<aCount> whose shard the node owns.
  std::vector<std::string> KeysOf(int aNode, int aCount) const;
  absl::StatusOr<cluster_view> View() const;
  // Call counts of the platform stand-in, as its JSON; empty on error.
  std::string PlatformCalls() const;
  pid_t NodeProcess(int aNode) const;

private:
  struct vm
  {
    pid_t mNode = 0;
    pid_t mServer = 0;
    instant mServerDue = instant::max(); // start of a server that has ended
    bool mIsFrozen = false;
  };

  std::string Address(int aNode, int aPort) const;
  // Requires mMutex.
  void StartServer(int aNode);
  // Starts servers that have ended again, until the destructor runs.
  void WatchServers();
  void WriteSettings(int aNode);
  void SubmitConfiguration();
  void Signal(int aNode, int aSignal);
  void WriteUnchecked(const std::string& aKind,
                      const std::string& aName,
                      const std::string& aBody);
  bool IsServed(int aIgnoredNode) const;
  bool HasJoined(int aNode) const;

  process_cluster_settings mSettings;
  pid_t mPlatform = 0;
  std::vector<vm> mVms;
  std::mutex mMutex; // of all in mVms that concerns the backend servers
  std::thread mWatcher;
  std::atomic<bool> mIsEnding = false;
};

} // namespace plantaindale::sessions
