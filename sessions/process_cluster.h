// process_cluster runs the real programs on loopback addresses: a platform
// stand-in, nodes, and a backend server stand-in beside each. It kills,
// freezes and cuts them, for the failure tests and the measurements.
//
//   process_cluster cluster({ .mNodes = 5 }, folder);
//   cluster.AwaitServed();
//   cluster.KillVm(2);
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

#include "plantaindale/membership/cluster_view.h"

namespace plantaindale::sessions {

struct process_cluster_settings
{
  int mNodes = 5;
  int mShards = 24;
  int mColdStartMs = 0;
  bool mChecksFences = true;
  bool mRenewInPlatform = false; // the baseline for leases
  int mSlots = 12;
  int mBasePort = 20000; // of 10 ports for each node
  std::string mFolder;   // for settings, logs and the log of runs
  // Where each node finds the platform, such as a proxy; empty: directly.
  std::vector<std::string> mPlatformAddresses = {};
};

// Ends all that it started when it is destroyed.
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
  void StartVm(int aNode);
  void FreezeVm(int aNode);
  void FreezeNode(int aNode);
  void Unfreeze(int aNode);
  void SetPlatformFault(const std::string& aJson);
  // SIGTERM, as on a planned stop.
  void Terminate(int aNode);

  // Queries that wait for what they ask about; false after a minute in vain.
  bool AwaitServed();
  // Every shard has an acting owner, none of them `aNode`.
  bool AwaitServedWithout(int aNode);
  // The node's process has ended; its exit code.
  int AwaitExit(int aNode);

  std::vector<std::string> CallerAddresses() const;
  std::string RunLog() const;
  std::string Platform() const;
  std::string AdminAddress(int aNode) const;
  // Keys whose shard the node owns, of k1 to kCount.
  std::vector<std::string> KeysOf(int aNode, int aCount) const;
  absl::StatusOr<cluster_view> View() const;
  // Calls of the platform so far: its own JSON.
  std::string PlatformCalls() const;
  pid_t NodeProcess(int aNode) const;

private:
  struct vm
  {
    pid_t mNode = 0;
    pid_t mServer = 0;
  };

  std::string Address(int aNode, int aPort) const;
  pid_t Start(const std::string& aName, std::vector<std::string> aCommand);
  void WriteSettings(int aNode);
  void SubmitConfiguration();
  bool IsServed(int aIgnoredNode) const;

  process_cluster_settings mSettings;
  pid_t mPlatform = 0;
  std::vector<vm> mVms;
};

} // namespace plantaindale::sessions
