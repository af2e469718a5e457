#include "sessions/cluster_model.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/configuration/configuration_patch.h"
#include <boost/json.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kMachineTickInterval = milliseconds(50);
constexpr duration kWatchInterval = milliseconds(20);
constexpr duration kCallTimeout = seconds(1);
constexpr duration kMaxWriteDelay = seconds(3);
// Covers a call that is slow at the store and then at a peer that relays it.
constexpr duration kMaxCallTime = seconds(3);
constexpr duration kMaxFaultTime = seconds(4);
constexpr duration kClockStart = seconds(1000);
constexpr int kFailureDomains = 3;
// Of the copies from which the platform is restored.
constexpr std::size_t kMaxCopies = 8;

std::string
ConfigurationBody(int aShards)
{
  cluster_configuration configuration;
  configuration.mNumber = 1;
  configuration.mPatchId = "first";
  configuration.mDocument =
    absl::StrCat(R"({"services":{"board":{"path_prefix":"/board/","shards":)",
                 aShards,
                 R"(,"key":{"path_segment":1}}}})");
  return Serialize(configuration);
}

} // namespace

cluster_model::cluster_model(model_settings aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mIsSupervised(aSettings.mDrainPermille > 0)
  , mRandom(aSeed)
  , mNodes(static_cast<std::size_t>(aSettings.mNodes))
{
  (void)mStore.Write({ std::string(kConfigurationKind),
                       std::string(kConfigurationName),
                       0,
                       ConfigurationBody(aSettings.mShards) });
  for (int node = 0; node < aSettings.mNodes; ++node) {
    process& process = mNodes[static_cast<std::size_t>(node)];
    std::uniform_int_distribution<int> drift(-aSettings.mMaxClockDriftPermille,
                                             aSettings.mMaxClockDriftPermille);
    process.mClockRate = 1 + drift(mRandom) / 1000.0;
    process.mClockOffset = seconds(node);
    process.mNodeIndex = node;
    Restart(node);
  }
  Schedule(seconds(1), [this] { InjectFaults(); });
}

std::string
cluster_model::Name(int aNode) const
{
  return absl::StrCat("n", mNodes[static_cast<std::size_t>(aNode)].mNodeIndex);
}

void
cluster_model::Schedule(duration aTime, std::function<void()> aTask)
{
  mSchedule.push({ aTime, mNextScheduleOrder++, std::move(aTask) });
}

void
cluster_model::Run(duration aTime)
{
  const duration end = mNow + aTime;
  while (!mSchedule.empty() && mSchedule.top().mDueTime <= end &&
         mViolation.empty()) {
    const scheduled_task next = mSchedule.top();
    mSchedule.pop();
    mNow = next.mDueTime;
    next.mTask();
    CheckOwners();
  }
  mNow = end;
}

void
cluster_model::Restart(int aNode)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  node_description description;
  description.mName = Name(aNode);
  description.mProcess = absl::StrCat(aNode, ".", mNextScheduleOrder);
  description.mRegion = "khangai";
  description.mFailureDomain = absl::StrCat("soum-", aNode % kFailureDomains);
  description.mAddresses.mControl = absl::StrCat("127.0.0.1:", aNode);
  description.mAddresses.mPeer = process.mHost;
  process.mMachine =
    std::make_unique<node_machine>(description, mSettings.mTiming, mRandom());
  process.mIsAlive = true;
  process.mFrozenUntil = duration(0);
  process.mWatched = 0;
  const int generation = ++process.mGeneration;
  announced_server server;
  server.mService = "board";
  server.mAddress = "127.0.0.1:1";
  server.mSlots = 12;
  server.mConnections = 130;
  server.mChecksFences = true;
  Deliver(aNode, generation, server_announced{ server });
  Tick(aNode, generation);
  Watch(aNode, generation);
}

void
cluster_model::Kill(int aNode)
{
  AppendLog("kill " + Name(aNode));
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  process.mIsAlive = false;
  ++process.mGeneration;
}

std::string
cluster_model::UniqueHost() const
{
  const std::int64_t number = mNextScheduleOrder;
  return absl::StrCat("10.",
                      (number >> 16) & 0xff,
                      ".",
                      (number >> 8) & 0xff,
                      ".",
                      number & 0xff,
                      ":1");
}

void
cluster_model::StartDuplicate(int aNode)
{
  AppendLog("twin of " + Name(aNode));
  // The old process keeps its clock and state under a new index, to which no
  // message is addressed.
  process& first = mNodes[static_cast<std::size_t>(aNode)];
  process new_process;
  new_process.mClockRate = first.mClockRate;
  new_process.mClockOffset = first.mClockOffset;
  new_process.mNodeIndex = first.mNodeIndex;
  new_process.mHost = UniqueHost(); // the old process keeps its own
  new_process.mGeneration = first.mGeneration;
  process old_process = std::exchange(first, std::move(new_process));
  mNodes.push_back(std::move(old_process));
  const int index = static_cast<int>(mNodes.size()) - 1;
  Tick(index, mNodes.back().mGeneration);
  Restart(aNode);
}

void
cluster_model::Freeze(int aNode, duration aTime)
{
  AppendLog("freeze " + Name(aNode));
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  process.mFrozenUntil = mNow + aTime;
}

void
cluster_model::BlockLink(int aFrom, int aTo, duration aTime)
{
  mLinkBlockedUntil[{ aFrom, aTo }] = mNow + aTime;
}

void
cluster_model::Isolate(int aNode, duration aTime, bool aBlockPlatform)
{
  AppendLog("isolate " + Name(aNode) + (aBlockPlatform ? " wholly" : ""));
  for (int other = 0; other < mSettings.mNodes; ++other) {
    BlockLink(aNode, other, aTime);
    BlockLink(other, aNode, aTime);
  }
  if (aBlockPlatform) {
    mPlatformBlockedUntil[aNode] = mNow + aTime;
  }
}

void
cluster_model::StartPlatformOutage(duration aTime)
{
  AppendLog("platform down");
  mOutageUntil = mNow + aTime;
}

void
cluster_model::RestorePlatform(duration aAge)
{
  const auto age = static_cast<std::size_t>(aAge / seconds(1));
  if (age >= mCopies.size()) {
    return;
  }
  AppendLog(absl::StrCat("platform restored from ", age, " s ago"));
  mStore.Restore(mCopies[mCopies.size() - 1 - age]);
}

void
cluster_model::Drain(int aNode)
{
  AppendLog("drain " + Name(aNode));
  StepMachine(aNode, drain_requested{});
}

void
cluster_model::Move(int aShard, int aTo)
{
  for (int node = 0; node < mSettings.mNodes; ++node) {
    const process& process = mNodes[static_cast<std::size_t>(node)];
    const bool can_request = process.mIsAlive && process.mFrozenUntil <= mNow;
    const node_record* target =
      can_request ? process.mMachine->View().FindNode(Name(aTo)) : nullptr;
    if (target == nullptr) {
      continue;
    }
    protocol::move_request request;
    request.service_name = "board";
    request.shard = aShard;
    request.target = target->mIdentity;
    control_message message;
    message.__set_move(request);
    StepMachine(node, message_received{ message });
  }
}

void
cluster_model::AppendLog(const std::string& aLine)
{
  absl::StrAppend(
    &mLog, duration_cast<milliseconds>(mNow).count(), " ", aLine, "\n");
}

void
cluster_model::Deliver(int aNode, int aGeneration, event aEvent)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mIsAlive || process.mGeneration != aGeneration) {
    return;
  }
  if (process.mFrozenUntil > mNow) {
    Schedule(process.mFrozenUntil, [=, this, event = std::move(aEvent)] {
      Deliver(aNode, aGeneration, event);
    });
    return;
  }
  StepMachine(aNode, aEvent);
}

void
cluster_model::StepMachine(int aNode, const event& aEvent)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mIsAlive || process.mMachine->IsFinished()) {
    return;
  }
  const auto actions = process.mMachine->Step(aEvent, LocalClock(aNode));
  for (const action& action : actions) {
    Perform(aNode, action);
  }
}

void
cluster_model::Perform(int aNode, const action& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  if (const auto* logged = std::get_if<log_event_action>(&aAction)) {
    AppendLog(Name(aNode) + " " + logged->mEvent + " " + logged->mSubject +
              (logged->mReason.empty() ? "" : " (" + logged->mReason + ")"));
  } else if (const auto* sent = std::get_if<send_message>(&aAction)) {
    const int to =
      std::stoi(sent->mAddress.substr(sent->mAddress.find(':') + 1));
    if (IsLinkBlocked(aNode, to) || Chance(mSettings.mDropPermille)) {
      return;
    }
    const int receiver = mNodes[static_cast<std::size_t>(to)].mGeneration;
    Schedule(mNow + Delay(), [=, this, message = sent->mMessage] {
      Deliver(to, receiver, message_received{ message });
    });
  } else if (const auto* write = std::get_if<write_object>(&aAction)) {
    PerformWrite(aNode, *write);
  } else if (const auto* read = std::get_if<read_object>(&aAction)) {
    PerformRead(aNode, *read);
  } else if (const auto* close = std::get_if<close_shard>(&aAction)) {
    std::uniform_int_distribution<std::int64_t> run(
      0, mSettings.mMaxDrainTime.count());
    Schedule(mNow + duration(run(mRandom)), [=, this, shard = close->mShard] {
      Deliver(aNode, generation, shards_drained{ { shard }, "" });
    });
  } else if (const auto* warm = std::get_if<warm_shard>(&aAction)) {
    Schedule(mNow + Delay(), [=, this, warm = *warm] {
      Deliver(
        aNode, generation, shard_warmed{ warm.mShard, warm.mOwnerAddress });
    });
  }
}

void
cluster_model::PerformWrite(int aNode, const write_object& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  const auto answer =
    [=, this, token = aAction.mToken](absl::StatusOr<stored_object> aResult,
                                      duration aAfter) {
      Schedule(mNow + aAfter, [=, this, result = std::move(aResult)] {
        Deliver(aNode, generation, write_finished{ token, result });
      });
    };
  const bool is_unreachable =
    mOutageUntil > mNow || mPlatformBlockedUntil[aNode] > mNow;
  if (is_unreachable) {
    answer(absl::UnknownError("no answer"), kCallTimeout);
    return;
  }
  ++mWrites;
  if (Chance(mSettings.mRefusedWritePermille)) {
    std::uniform_int_distribution<std::int64_t> slow(0, kMaxCallTime.count());
    answer(absl::UnavailableError("refused"), duration(slow(mRandom)));
    return;
  }
  if (Chance(mSettings.mSlowWritePermille)) {
    std::uniform_int_distribution<std::int64_t> slow(0, kMaxCallTime.count());
    Schedule(mNow + duration(slow(mRandom)), [=, this, write = aAction.mWrite] {
      auto result = mStore.Write(write);
      answer(std::move(result), Delay());
    });
    return;
  }
  if (Chance(mSettings.mLateWritePermille)) {
    std::uniform_int_distribution<std::int64_t> late(0, kMaxWriteDelay.count());
    Schedule(mNow + duration(late(mRandom)),
             [=, this, write = aAction.mWrite] { (void)mStore.Write(write); });
    answer(absl::UnknownError("no answer"), kCallTimeout);
    return;
  }
  const bool is_node_chosen = mNodeToLoseResponse == aNode;
  const bool is_lost = is_node_chosen || mResponsesToDrop > 0 ||
                       Chance(mSettings.mLostResponsePermille);
  mResponsesToDrop -= mResponsesToDrop > 0 ? 1 : 0;
  if (is_node_chosen) {
    mNodeToLoseResponse.reset();
  }
  Schedule(mNow + Delay(), [=, this, write = aAction.mWrite] {
    auto result = mStore.Write(write);
    if (is_lost) {
      result = absl::UnknownError("answer lost");
    }
    answer(result, is_lost ? kCallTimeout : Delay());
  });
}

void
cluster_model::PerformRead(int aNode, const read_object& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  const bool is_unreachable =
    mOutageUntil > mNow || mPlatformBlockedUntil[aNode] > mNow;
  absl::StatusOr<stored_object> result = absl::UnknownError("no answer");
  if (!is_unreachable) {
    const stored_object* found = mStore.Find(aAction.mKind, aAction.mName);
    result = absl::NotFoundError("none");
    if (found != nullptr) {
      result = *found;
    }
  }
  Schedule(mNow + (is_unreachable ? kCallTimeout : Delay()),
           [=, this, token = aAction.mToken] {
             Deliver(aNode, generation, read_finished{ token, result });
           });
}

void
cluster_model::Tick(int aNode, int aGeneration)
{
  const process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mIsAlive || process.mGeneration != aGeneration) {
    return;
  }
  if (process.mFrozenUntil <= mNow) {
    StepMachine(aNode, traffic_report{});
    StepMachine(aNode, tick{});
  }
  Schedule(mNow + kMachineTickInterval,
           [=, this] { Tick(aNode, aGeneration); });
}

void
cluster_model::Watch(int aNode, int aGeneration)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mIsAlive || process.mGeneration != aGeneration) {
    return;
  }
  const bool is_unreachable = mOutageUntil > mNow ||
                              mPlatformBlockedUntil[aNode] > mNow ||
                              process.mFrozenUntil > mNow;
  const std::int64_t known = process.mMachine->View().Revision();
  const bool has_updates = mStore.Revision() > known;
  if (!is_unreachable && has_updates &&
      process.mMachine->ShouldWatch(LocalClock(aNode))) {
    object_delta delta = mStore.ChangesAfter(known);
    Schedule(mNow + Delay(), [=, this] {
      Deliver(aNode, aGeneration, store_changed{ delta });
    });
  }
  Schedule(mNow + kWatchInterval, [=, this] { Watch(aNode, aGeneration); });
}

void
cluster_model::InjectFaults()
{
  if (mNow >= mSettings.mFaultsEnd) {
    StopFaults();
  }
  std::uniform_int_distribution<std::int64_t> fault_duration(
    0, kMaxFaultTime.count());
  for (int node = 0; node < mSettings.mNodes; ++node) {
    const duration time(fault_duration(mRandom));
    if (Chance(mSettings.mKillPermille) && IsRunning(node)) {
      Kill(node);
      Schedule(mNow + time, [=, this] { Restart(node); });
    }
    if (Chance(mSettings.mFreezePermille)) {
      Freeze(node, time);
    }
    if (Chance(mSettings.mBlockedLinkPermille)) {
      BlockLink(node, RandomNode(), time);
    }
    if (Chance(mSettings.mBlockedLinkPermille / 3)) {
      Isolate(node, time, Chance(500));
    }
    if (Chance(mSettings.mPlatformCutOffPermille)) {
      const int other = RandomNode();
      BlockLink(node, other, time);
      BlockLink(other, node, time);
      mPlatformBlockedUntil[node] = mNow + time;
    }
    // Only members get a duplicate: two processes that never joined cannot be
    // told apart, and whichever is last has the name.
    if (Chance(mSettings.mDuplicateProcessPermille) && IsRunning(node) &&
        Node(node).IsMember()) {
      StartDuplicate(node);
    }
    if (Chance(mSettings.mMovePermille)) {
      // The order in which arguments are evaluated is unspecified, so each draw
      // is a statement.
      std::uniform_int_distribution<int> shard(0, mSettings.mShards - 1);
      const int target = RandomNode();
      Move(shard(mRandom), target);
    }
    const process& process = mNodes[static_cast<std::size_t>(node)];
    if (Chance(mSettings.mDrainPermille) && process.mFrozenUntil <= mNow) {
      Drain(node);
    }
    const bool is_replaced =
      mIsSupervised && process.mIsAlive && process.mMachine->IsFinished();
    if (is_replaced) {
      Restart(node);
    }
  }
  if (mSettings.mRestorePermille > 0) {
    InjectRestore();
  }
  if (Chance(mSettings.mOutagePermille)) {
    StartPlatformOutage(duration(fault_duration(mRandom)));
  }
  Schedule(mNow + seconds(1), [this] { InjectFaults(); });
}

void
cluster_model::InjectRestore()
{
  mCopies.push_back(mStore);
  if (mCopies.size() > kMaxCopies) {
    mCopies.pop_front();
  }
  if (!Chance(mSettings.mRestorePermille)) {
    return;
  }
  std::uniform_int_distribution<std::int64_t> fault_duration(
    0, kMaxFaultTime.count());
  std::uniform_int_distribution<std::size_t> age(0, kMaxCopies - 1);
  const duration outage(fault_duration(mRandom) / 4);
  const duration copy = seconds(age(mRandom));
  StartPlatformOutage(outage);
  Schedule(mNow + outage, [=, this] { RestorePlatform(copy); });
}

void
cluster_model::StopFaults()
{
  model_settings without_faults;
  without_faults.mNodes = mSettings.mNodes;
  without_faults.mShards = mSettings.mShards;
  without_faults.mTiming = mSettings.mTiming;
  mSettings = without_faults;
}

void
cluster_model::CheckOwners()
{
  std::map<int, std::string> owners;
  for (int node = 0; node < static_cast<int>(mNodes.size()); ++node) {
    const process& process = mNodes[static_cast<std::size_t>(node)];
    if (!process.mIsAlive || !process.mMachine->IsMember() ||
        process.mMachine->LeaseUntil() <= LocalClock(node)) {
      continue;
    }
    const auto page = process.mMachine->View().FindPage("board", 0);
    if (page == nullptr) {
      continue;
    }
    const node_identity self = process.mMachine->LocalMembership().Identity();
    const auto closed = process.mMachine->ShardManager().ClosedShards();
    for (int shard = 0; shard < static_cast<int>(page->mEntries.size());
         ++shard) {
      const shard_entry& entry =
        page->mEntries[static_cast<std::size_t>(shard)];
      if (entry.mOwner != self || closed.contains({ "board", shard })) {
        continue;
      }
      std::string& owner = owners[shard];
      if (!owner.empty()) {
        mViolation = absl::StrCat("shard ",
                                  shard,
                                  " is owned by ",
                                  owner,
                                  " and ",
                                  ToText(self),
                                  " at ",
                                  duration_cast<milliseconds>(mNow).count(),
                                  " ms");
        AppendLog(mViolation);
        return;
      }
      owner = ToText(self);
    }
  }
}

int
cluster_model::ServedShards() const
{
  std::set<int> served;
  for (int node = 0; node < mSettings.mNodes; ++node) {
    const process& process = mNodes[static_cast<std::size_t>(node)];
    const bool is_serving = process.mIsAlive && process.mFrozenUntil <= mNow &&
                            process.mMachine->IsMember() &&
                            process.mMachine->LeaseUntil() > LocalClock(node);
    for (int shard = 0; is_serving && shard < mSettings.mShards; ++shard) {
      const shard_entry* entry =
        process.mMachine->View().FindEntry({ "board", shard });
      const bool is_own =
        entry != nullptr &&
        entry->mOwner == process.mMachine->LocalMembership().Identity();
      if (is_own && !process.mMachine->ShardManager().ClosedShards().contains(
                      { "board", shard })) {
        served.insert(shard);
      }
    }
  }
  return static_cast<int>(served.size());
}

int
cluster_model::OwnedShards(int aNode) const
{
  const node_machine& node = Node(aNode);
  return node.ShardManager().OwnedShards(node.View(),
                                         node.LocalMembership().Identity());
}

const node_machine&
cluster_model::Node(int aNode) const
{
  return *mNodes[static_cast<std::size_t>(aNode)].mMachine;
}

bool
cluster_model::IsRunning(int aNode) const
{
  return mNodes[static_cast<std::size_t>(aNode)].mIsAlive;
}

instant
cluster_model::LocalClock(int aNode) const
{
  const process& process = mNodes[static_cast<std::size_t>(aNode)];
  const double local_time =
    static_cast<double>(mNow.count()) * process.mClockRate;
  return instant(kClockStart + process.mClockOffset +
                 duration(static_cast<std::int64_t>(local_time)));
}

bool
cluster_model::IsLinkBlocked(int aFrom, int aTo) const
{
  const auto found = mLinkBlockedUntil.find({ aFrom, aTo });
  return found != mLinkBlockedUntil.end() && found->second > mNow;
}

duration
cluster_model::Delay()
{
  std::uniform_int_distribution<std::int64_t> delay(
    200, mSettings.mMaxMessageDelay.count());
  return duration(delay(mRandom));
}

bool
cluster_model::Chance(int aPermille)
{
  std::uniform_int_distribution<int> permille(0, 999);
  return permille(mRandom) < aPermille;
}

int
cluster_model::RandomNode()
{
  std::uniform_int_distribution<int> node(0, mSettings.mNodes - 1);
  return node(mRandom);
}

} // namespace plantaindale::sessions
