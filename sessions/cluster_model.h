// cluster_model runs a few node_machines in virtual time, between a network
// that delays, drops and cuts, and a platform whose writes may be refused, be
// lost, or take effect late. After each step it checks that no shard has two
// owners. One seed gives one history.
//
//   cluster_model model({ .mNodes = 5 }, seed);
//   model.Run(std::chrono::seconds(20));
//   BOOST_TEST(model.Violation() == "");
#pragma once

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

// What may go wrong in a history.
struct model_settings
{
  int mNodes = 5;
  int mShards = 6;
  lease_timing mTiming;
  // Chances out of 1000, each second and node.
  int mKillPermille = 0;
  int mFreezePermille = 0;
  int mBlockedLinkPermille = 0;
  int mMovePermille = 0;
  int mDrainPermille = 0;
  int mPlatformCutOffPermille =
    0; // and from one other node, while the rest is reached
  int mDuplicateProcessPermille =
    0;                     // a new process while the old one still runs
  int mOutagePermille = 0; // of the platform, each second
  // Chances out of 1000, each message or write.
  int mDropPermille = 0;
  int mLostResponsePermille = 0;
  int mLateWritePermille = 0;
  int mSlowWritePermille = 0; // the effect and the answer come seconds late
  int mRefusedWritePermille =
    0; // nothing is done, and the answer says so, late
  duration mMaxMessageDelay = std::chrono::milliseconds(2);
  // Clocks run up to this many thousandths fast or slow.
  int mMaxClockDriftPermille = 0;
  // No new trouble begins after this.
  duration mFaultsEnd = duration::max();
  // Servers leave a closed shard quiet after up to this long.
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
  // A new process under the same name.
  void Restart(int aNode);
  void Freeze(int aNode, duration aTime);
  void BlockLink(int aFrom, int aTo, duration aTime);
  // A new process takes the name and the addresses; the old one goes on.
  void StartDuplicate(int aNode);
  // Cut off from all other nodes, and from the platform if wished.
  void Isolate(int aNode, duration aTime, bool aBlockPlatform);
  void StartPlatformOutage(duration aTime);
  void LoseNextResponses(int aCount) { mResponsesToDrop = aCount; }
  void Drain(int aNode);
  void Move(int aShard, int aTo);
  void AppendLog(const std::string& aLine);

  // Queries.
  // The first moment at which a shard had two owners; empty if none had.
  const std::string& Violation() const { return mViolation; }
  // Every note of every node, with its time in ms.
  const std::string& Log() const { return mLog; }
  // Shards that somebody may act for now.
  int ServedShards() const;
  int OwnedShards(int aNode) const;
  const node_machine& Node(int aNode) const;
  bool IsRunning(int aNode) const;
  std::int64_t PlatformWrites() const { return mWrites; }

private:
  struct process
  {
    std::unique_ptr<node_machine> mMachine;
    int mNodeIndex = 0; // the place whose name and control address it has
    std::string mHost;  // of its other addresses
    int mGeneration = 0;
    bool mIsAlive = false;
    duration mFrozenUntil{ 0 };
    double mClockRate = 1;
    duration mClockOffset{ 0 };
    std::int64_t mWatched = 0;
  };
  struct scheduled_task
  {
    duration mAt;
    std::int64_t mScheduleOrder;
    std::function<void()> mTask;
    bool operator<(const scheduled_task& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mScheduleOrder) <
             std::tie(mAt, mScheduleOrder);
    }
  };

  void Schedule(duration aTime, std::function<void()> aWork);
  // Delivers to the node, later if it is frozen, never if it was replaced.
  void Deliver(int aNode, int aGeneration, event aEvent);
  void StepMachine(int aNode, const event& aEvent);
  void Perform(int aNode, const action& aAction);
  void PerformWrite(int aNode, const write_object& aAction);
  void PerformRead(int aNode, const read_object& aAction);
  void Tick(int aNode, int aGeneration);
  void Watch(int aNode, int aGeneration);
  void InjectFaults();
  void StopFaults();
  void CheckOwners();
  instant LocalClock(int aNode) const;
  bool IsLinkBlocked(int aFrom, int aTo) const;
  duration Delay();
  bool Chance(int aPermille);
  int RandomNode();
  std::string Name(int aNode) const;

  model_settings mSettings;
  // Processes that end by themselves are started again, also when the troubles
  // are over.
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
  std::int64_t mWrites = 0;
  stand_ins::store mStore;
  std::string mViolation;
  std::string mLog;
};

} // namespace plantaindale::sessions
