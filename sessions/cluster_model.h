// cluster_model simulates a cluster of node_machines in virtual time. Faults
// are injected into the network, the processes, their clocks and the platform's
// store. After each step it checks that no shard has two owners. Runs with the
// same settings and seed are identical.
//
//   cluster_model model({ .mNodes = 5 }, seed);
//   model.Run(std::chrono::seconds(20));
//   BOOST_TEST(model.Violation() == "");
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/node/node_machine.h"
#include "stand_ins/platform/store.h"

namespace plantaindale::sessions {

// Cluster size and fault probabilities of a simulation.
struct model_settings
{
  int mNodes = 5;
  int mShards = 6;
  lease_timing mTiming;
  // Probabilities in thousandths, per second and node.
  int mKillPermille = 0;
  int mFreezePermille = 0;
  int mBlockedLinkPermille = 0;
  int mMovePermille = 0;
  int mDrainPermille = 0;
  // The node loses the platform and one other node, and reaches the rest.
  int mPlatformCutOffPermille = 0;
  // A new process starts under the node's name while the old one still runs.
  int mDuplicateProcessPermille = 0;
  // Platform outages; per second, not per node.
  int mOutagePermille = 0;
  // The platform comes back from a copy that is up to 7 s old; per second, not
  // per node.
  int mRestorePermille = 0;
  // Probabilities in thousandths, per message or write.
  int mDropPermille = 0;
  // The write takes effect, but its response is lost.
  int mLostResponsePermille = 0;
  // No response arrives; the write takes effect up to seconds later.
  int mLateWritePermille = 0;
  // The write takes effect and is answered up to seconds late.
  int mSlowWritePermille = 0;
  // The write has no effect; the error is returned up to seconds late.
  int mRefusedWritePermille = 0;
  duration mMaxMessageDelay = std::chrono::milliseconds(2);
  // Largest deviation of a node's clock rate from 1, in thousandths.
  int mMaxClockDriftPermille = 0;
  // No fault is injected after this time.
  duration mFaultsEnd = duration::max();
  // Longest time until a backend server has no running request of a closed
  // shard.
  duration mMaxDrainTime = std::chrono::milliseconds(20);
};

class cluster_model
{
public:
  cluster_model(model_settings aSettings, std::uint64_t aSeed);
  cluster_model(const cluster_model&) = delete;
  cluster_model& operator=(const cluster_model&) = delete;

  // Commands.
  void Run(duration aTime);
  void Kill(int aNode);
  // Starts a new process under the same name.
  void Restart(int aNode);
  void Freeze(int aNode, duration aTime);
  // Drops messages in this direction only.
  void BlockLink(int aFrom, int aTo, duration aTime);
  // Starts a new process under the node's name and control address while the
  // old process keeps running.
  void StartDuplicate(int aNode);
  // Blocks the links to all other nodes and, if wished, to the platform.
  void Isolate(int aNode, duration aTime, bool aBlockPlatform);
  void StartPlatformOutage(duration aTime);
  // Restores the platform from a copy of its state `aAge` ago.
  void RestorePlatform(duration aAge);
  void LoseNextResponses(int aCount) { mResponsesToDrop = aCount; }
  // Loses the response to the node's next write, which takes effect.
  void LoseNextResponseTo(int aNode) { mNodeToLoseResponse = aNode; }
  void Drain(int aNode);
  void Move(int aShard, int aTo);
  void AppendLog(const std::string& aLine);

  // Queries.
  // Describes the first time at which a shard had two owners; empty if none
  // had. Run() stops there.
  const std::string& Violation() const { return mViolation; }
  // Log events of all nodes and injected faults, each with its time in ms.
  const std::string& Log() const { return mLog; }
  // Shards whose owner is running, holds its lease and serves them.
  int ServedShards() const;
  int OwnedShards(int aNode) const;
  const node_machine& Node(int aNode) const;
  bool IsRunning(int aNode) const;
  std::int64_t PlatformWrites() const { return mWrites; }

private:
  struct process
  {
    std::unique_ptr<node_machine> mMachine;
    int mNodeIndex = 0; // gives the node's name and control address
    std::string mHost;  // the peer address
    int mGeneration = 0;
    bool mIsAlive = false;
    duration mFrozenUntil{ 0 };
    double mClockRate = 1;
    duration mClockOffset{ 0 };
    std::int64_t mWatched = 0;
  };
  struct scheduled_task
  {
    duration mDueTime;
    std::int64_t mScheduleOrder;
    std::function<void()> mTask;
    bool operator<(const scheduled_task& aOther) const
    {
      return std::tie(aOther.mDueTime, aOther.mScheduleOrder) <
             std::tie(mDueTime, mScheduleOrder);
    }
  };

  // The peer address of a process that starts now on a host of its own.
  std::string UniqueHost() const;
  void Schedule(duration aTime, std::function<void()> aTask);
  // Delivers the event to this generation of the node's process: once it is
  // unfrozen if it is frozen, never if it was killed or replaced.
  void Deliver(int aNode, int aGeneration, event aEvent);
  void StepMachine(int aNode, const event& aEvent);
  void Perform(int aNode, const action& aAction);
  void PerformWrite(int aNode, const write_object& aAction);
  void PerformRead(int aNode, const read_object& aAction);
  void Tick(int aNode, int aGeneration);
  void Watch(int aNode, int aGeneration);
  void InjectFaults();
  // Keeps a copy of the platform, and may restore an earlier one.
  void InjectRestore();
  void StopFaults();
  void CheckOwners();
  instant LocalClock(int aNode) const;
  bool IsLinkBlocked(int aFrom, int aTo) const;
  duration Delay();
  bool Chance(int aPermille);
  int RandomNode();
  std::string Name(int aNode) const;

  model_settings mSettings;
  // Whether processes that finish by themselves are restarted, also after
  // mFaultsEnd.
  bool mIsSupervised;
  std::mt19937_64 mRandom;
  std::priority_queue<scheduled_task> mSchedule;
  std::int64_t mNextScheduleOrder = 0;
  duration mNow{ 0 };
  std::vector<process> mNodes;
  std::map<std::pair<int, int>, duration> mLinkBlockedUntil;
  std::map<int, duration> mPlatformBlockedUntil;
  duration mOutageUntil{ 0 };
  int mResponsesToDrop = 0;
  std::optional<int> mNodeToLoseResponse;
  std::int64_t mWrites = 0;
  stand_ins::store mStore;
  std::deque<stand_ins::store> mCopies; // one a second, the latest last
  std::string mViolation;
  std::string mLog;
};

} // namespace plantaindale::sessions
