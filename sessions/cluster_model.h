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
  int mKills = 0;
  int mFreezes = 0;
  int mCuts = 0;
  int mMoves = 0;
  int mDrains = 0;
  int mOffPlatform = 0; // and from one other node, while the rest is reached
  int mTwins = 0;       // a new process while the old one still runs
  int mOutages = 0;     // of the platform, each second
  // Chances out of 1000, each message or write.
  int mDrops = 0;
  int mLostAnswers = 0;
  int mLateEffects = 0;
  int mSlowCalls = 0;    // the effect and the answer come seconds late
  int mRefusedCalls = 0; // nothing is done, and the answer says so, late
  duration mLongestDelay = std::chrono::milliseconds(2);
  // Clocks run up to this many thousandths fast or slow.
  int mClockDrift = 0;
  // No new trouble begins after this.
  duration mTroublesEnd = duration::max();
  // Servers leave a closed shard quiet after up to this long.
  duration mLongestRun = std::chrono::milliseconds(20);
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
  void Cut(int aFrom, int aTo, duration aTime);
  // A new process takes the name and the addresses; the old one goes on.
  void Twin(int aNode);
  // Cut off from all other nodes, and from the platform if wished.
  void Isolate(int aNode, duration aTime, bool aFromPlatform);
  void BreakPlatform(duration aTime);
  void LoseNextAnswers(int aCount) { mLoseNext = aCount; }
  void Drain(int aNode);
  void Move(int aShard, int aTo);
  void Say(const std::string& aLine);

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
    int mName = 0;     // the place whose name and control address it has
    std::string mHost; // of its other addresses
    int mGeneration = 0;
    bool mRuns = false;
    duration mFrozenUntil{ 0 };
    double mClockRate = 1;
    duration mClockOffset{ 0 };
    std::int64_t mWatched = 0;
  };
  struct planned
  {
    duration mAt;
    std::int64_t mOrder;
    std::function<void()> mWork;
    bool operator<(const planned& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  void At(duration aTime, std::function<void()> aWork);
  // Delivers to the node, later if it is frozen, never if it was replaced.
  void Deliver(int aNode, int aGeneration, event aEvent);
  void Feed(int aNode, const event& aEvent);
  void Do(int aNode, const action& aAction);
  void DoWrite(int aNode, const write_object& aAction);
  void DoRead(int aNode, const read_object& aAction);
  void Tick(int aNode, int aGeneration);
  void Watch(int aNode, int aGeneration);
  void Misfortune();
  void EndTroubles();
  void CheckOwners();
  instant ClockOf(int aNode) const;
  bool IsCut(int aFrom, int aTo) const;
  duration Delay();
  bool Chance(int aOutOfThousand);
  int AnyNode();
  std::string Name(int aNode) const;

  model_settings mSettings;
  // Processes that end by themselves are started again, also when the troubles
  // are over.
  bool mIsSupervised;
  std::mt19937_64 mRandom;
  std::priority_queue<planned> mPlan;
  std::int64_t mNextOrder = 0;
  duration mNow{ 0 };
  std::vector<process> mNodes;
  std::map<std::pair<int, int>, duration> mCutUntil;
  std::map<int, duration> mOffPlatformUntil;
  duration mOutageUntil{ 0 };
  int mLoseNext = 0;
  std::int64_t mWrites = 0;
  stand_ins::store mStore;
  std::string mViolation;
  std::string mLog;
};

} // namespace plantaindale::sessions
