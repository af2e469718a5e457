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

constexpr duration kTickEvery = milliseconds(50);
constexpr duration kWatchEvery = milliseconds(20);
constexpr duration kCallTimeout = seconds(1);
constexpr duration kLatestEffect = seconds(3);
// A call that goes to the store first, and then to a peer that is slow too.
constexpr duration kSlowestCall = seconds(3);
constexpr duration kLongestTrouble = seconds(4);
constexpr duration kClockStart = seconds(1000);
constexpr int kDomains = 3;

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
  , mIsSupervised(aSettings.mDrains > 0)
  , mRandom(aSeed)
  , mNodes(static_cast<std::size_t>(aSettings.mNodes))
{
  (void)mStore.Write({ std::string(kConfigurationKind),
                       std::string(kConfigurationName),
                       0,
                       ConfigurationBody(aSettings.mShards) });
  for (int node = 0; node < aSettings.mNodes; ++node) {
    process& process = mNodes[static_cast<std::size_t>(node)];
    std::uniform_int_distribution<int> drift(-aSettings.mClockDrift,
                                             aSettings.mClockDrift);
    process.mClockRate = 1 + drift(mRandom) / 1000.0;
    process.mClockOffset = seconds(node);
    process.mName = node;
    Restart(node);
  }
  At(seconds(1), [this] { Misfortune(); });
}

std::string
cluster_model::Name(int aNode) const
{
  return absl::StrCat("n", mNodes[static_cast<std::size_t>(aNode)].mName);
}

void
cluster_model::At(duration aTime, std::function<void()> aWork)
{
  mPlan.push({ aTime, mNextOrder++, std::move(aWork) });
}

void
cluster_model::Run(duration aTime)
{
  const duration end = mNow + aTime;
  while (!mPlan.empty() && mPlan.top().mAt <= end && mViolation.empty()) {
    const planned next = mPlan.top();
    mPlan.pop();
    mNow = next.mAt;
    next.mWork();
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
  description.mProcess = absl::StrCat(aNode, ".", mNextOrder);
  description.mRegion = "khangai";
  description.mFailureDomain = absl::StrCat("soum-", aNode % kDomains);
  description.mAddresses.mControl = absl::StrCat("127.0.0.1:", aNode);
  description.mAddresses.mPeer = process.mHost;
  process.mMachine =
    std::make_unique<node_machine>(description, mSettings.mTiming, mRandom());
  process.mRuns = true;
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
  Say("kill " + Name(aNode));
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  process.mRuns = false;
  ++process.mGeneration;
}

void
cluster_model::Twin(int aNode)
{
  Say("twin of " + Name(aNode));
  // The old process keeps its clock and its state in a place of its own,
  // which no message reaches.
  process& first = mNodes[static_cast<std::size_t>(aNode)];
  process fresh;
  fresh.mClockRate = first.mClockRate;
  fresh.mClockOffset = first.mClockOffset;
  fresh.mName = first.mName;
  fresh.mHost = absl::StrCat("host-", mNextOrder); // the first one's lives on
  fresh.mGeneration = first.mGeneration;
  process ghost = std::exchange(first, std::move(fresh));
  mNodes.push_back(std::move(ghost));
  const int place = static_cast<int>(mNodes.size()) - 1;
  Tick(place, mNodes.back().mGeneration);
  Restart(aNode);
}

void
cluster_model::Freeze(int aNode, duration aTime)
{
  Say("freeze " + Name(aNode));
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  process.mFrozenUntil = mNow + aTime;
}

void
cluster_model::Cut(int aFrom, int aTo, duration aTime)
{
  mCutUntil[{ aFrom, aTo }] = mNow + aTime;
}

void
cluster_model::Isolate(int aNode, duration aTime, bool aFromPlatform)
{
  Say("isolate " + Name(aNode) + (aFromPlatform ? " wholly" : ""));
  for (int other = 0; other < mSettings.mNodes; ++other) {
    Cut(aNode, other, aTime);
    Cut(other, aNode, aTime);
  }
  if (aFromPlatform) {
    mOffPlatformUntil[aNode] = mNow + aTime;
  }
}

void
cluster_model::BreakPlatform(duration aTime)
{
  Say("platform down");
  mOutageUntil = mNow + aTime;
}

void
cluster_model::Drain(int aNode)
{
  Say("drain " + Name(aNode));
  Feed(aNode, drain_requested{});
}

void
cluster_model::Move(int aShard, int aTo)
{
  for (int node = 0; node < mSettings.mNodes; ++node) {
    const process& process = mNodes[static_cast<std::size_t>(node)];
    const bool can = process.mRuns && process.mFrozenUntil <= mNow;
    const node_record* target =
      can ? process.mMachine->View().FindNode(Name(aTo)) : nullptr;
    if (target == nullptr) {
      continue;
    }
    protocol::move_request request;
    request.service_name = "board";
    request.shard = aShard;
    request.target = target->mIdentity;
    control_message message;
    message.__set_move(request);
    Feed(node, message_received{ message });
  }
}

void
cluster_model::Say(const std::string& aLine)
{
  absl::StrAppend(
    &mLog, duration_cast<milliseconds>(mNow).count(), " ", aLine, "\n");
}

void
cluster_model::Deliver(int aNode, int aGeneration, event aEvent)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mRuns || process.mGeneration != aGeneration) {
    return;
  }
  if (process.mFrozenUntil > mNow) {
    At(process.mFrozenUntil, [=, this, event = std::move(aEvent)] {
      Deliver(aNode, aGeneration, event);
    });
    return;
  }
  Feed(aNode, aEvent);
}

void
cluster_model::Feed(int aNode, const event& aEvent)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mRuns || process.mMachine->IsFinished()) {
    return;
  }
  const auto actions = process.mMachine->Step(aEvent, ClockOf(aNode));
  for (const action& action : actions) {
    Do(aNode, action);
  }
}

void
cluster_model::Do(int aNode, const action& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  if (const auto* note = std::get_if<log_event_action>(&aAction)) {
    Say(Name(aNode) + " " + note->mEvent + " " + note->mSubject +
        (note->mReason.empty() ? "" : " (" + note->mReason + ")"));
  } else if (const auto* sent = std::get_if<send_message>(&aAction)) {
    const int to =
      std::stoi(sent->mAddress.substr(sent->mAddress.find(':') + 1));
    if (IsCut(aNode, to) || Chance(mSettings.mDrops)) {
      return;
    }
    const int receiver = mNodes[static_cast<std::size_t>(to)].mGeneration;
    At(mNow + Delay(), [=, this, message = sent->mMessage] {
      Deliver(to, receiver, message_received{ message });
    });
  } else if (const auto* write = std::get_if<write_object>(&aAction)) {
    DoWrite(aNode, *write);
  } else if (const auto* read = std::get_if<read_object>(&aAction)) {
    DoRead(aNode, *read);
  } else if (const auto* close = std::get_if<close_shard>(&aAction)) {
    std::uniform_int_distribution<std::int64_t> run(
      0, mSettings.mLongestRun.count());
    At(mNow + duration(run(mRandom)), [=, this, shard = close->mShard] {
      Deliver(aNode, generation, shard_drained{ shard, "" });
    });
  } else if (const auto* warm = std::get_if<warm_shard>(&aAction)) {
    At(mNow + Delay(), [=, this, warm = *warm] {
      Deliver(
        aNode, generation, shard_warmed{ warm.mShard, warm.mOwnerAddress });
    });
  }
}

void
cluster_model::DoWrite(int aNode, const write_object& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  const auto answer =
    [=, this, token = aAction.mToken](absl::StatusOr<stored_object> aResult,
                                      duration aAfter) {
      At(mNow + aAfter, [=, this, result = std::move(aResult)] {
        Deliver(aNode, generation, write_finished{ token, result });
      });
    };
  const bool is_off = mOutageUntil > mNow || mOffPlatformUntil[aNode] > mNow;
  if (is_off) {
    answer(absl::UnknownError("no answer"), kCallTimeout);
    return;
  }
  ++mWrites;
  if (Chance(mSettings.mRefusedCalls)) {
    std::uniform_int_distribution<std::int64_t> slow(0, kSlowestCall.count());
    answer(absl::UnavailableError("refused"), duration(slow(mRandom)));
    return;
  }
  if (Chance(mSettings.mSlowCalls)) {
    std::uniform_int_distribution<std::int64_t> slow(0, kSlowestCall.count());
    At(mNow + duration(slow(mRandom)), [=, this, write = aAction.mWrite] {
      answer(mStore.Write(write), Delay());
    });
    return;
  }
  if (Chance(mSettings.mLateEffects)) {
    std::uniform_int_distribution<std::int64_t> late(0, kLatestEffect.count());
    At(mNow + duration(late(mRandom)),
       [=, this, write = aAction.mWrite] { (void)mStore.Write(write); });
    answer(absl::UnknownError("no answer"), kCallTimeout);
    return;
  }
  const bool is_lost = mLoseNext > 0 || Chance(mSettings.mLostAnswers);
  mLoseNext -= mLoseNext > 0 ? 1 : 0;
  At(mNow + Delay(), [=, this, write = aAction.mWrite] {
    auto result = mStore.Write(write);
    if (is_lost) {
      result = absl::UnknownError("answer lost");
    }
    answer(result, is_lost ? kCallTimeout : Delay());
  });
}

void
cluster_model::DoRead(int aNode, const read_object& aAction)
{
  const int generation = mNodes[static_cast<std::size_t>(aNode)].mGeneration;
  const bool is_off = mOutageUntil > mNow || mOffPlatformUntil[aNode] > mNow;
  absl::StatusOr<stored_object> result = absl::UnknownError("no answer");
  if (!is_off) {
    const stored_object* found = mStore.Find(aAction.mKind, aAction.mName);
    result = absl::NotFoundError("none");
    if (found != nullptr) {
      result = *found;
    }
  }
  At(mNow + (is_off ? kCallTimeout : Delay()),
     [=, this, token = aAction.mToken] {
       Deliver(aNode, generation, read_finished{ token, result });
     });
}

void
cluster_model::Tick(int aNode, int aGeneration)
{
  const process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mRuns || process.mGeneration != aGeneration) {
    return;
  }
  if (process.mFrozenUntil <= mNow) {
    Feed(aNode, traffic_report{});
    Feed(aNode, tick{});
  }
  At(mNow + kTickEvery, [=, this] { Tick(aNode, aGeneration); });
}

void
cluster_model::Watch(int aNode, int aGeneration)
{
  process& process = mNodes[static_cast<std::size_t>(aNode)];
  if (!process.mRuns || process.mGeneration != aGeneration) {
    return;
  }
  const bool is_off = mOutageUntil > mNow || mOffPlatformUntil[aNode] > mNow ||
                      process.mFrozenUntil > mNow;
  const std::int64_t known = process.mMachine->View().Revision();
  const bool has_news = mStore.Revision() > known;
  if (!is_off && has_news && process.mMachine->ShouldWatch(ClockOf(aNode))) {
    object_delta delta = mStore.ChangesAfter(known);
    At(mNow + Delay(),
       [=, this] { Deliver(aNode, aGeneration, store_changed{ delta }); });
  }
  At(mNow + kWatchEvery, [=, this] { Watch(aNode, aGeneration); });
}

void
cluster_model::Misfortune()
{
  if (mNow >= mSettings.mTroublesEnd) {
    EndTroubles();
  }
  std::uniform_int_distribution<std::int64_t> trouble(0,
                                                      kLongestTrouble.count());
  for (int node = 0; node < mSettings.mNodes; ++node) {
    const duration time(trouble(mRandom));
    if (Chance(mSettings.mKills) && IsRunning(node)) {
      Kill(node);
      At(mNow + time, [=, this] { Restart(node); });
    }
    if (Chance(mSettings.mFreezes)) {
      Freeze(node, time);
    }
    if (Chance(mSettings.mCuts)) {
      Cut(node, AnyNode(), time);
    }
    if (Chance(mSettings.mCuts / 3)) {
      Isolate(node, time, Chance(500));
    }
    if (Chance(mSettings.mOffPlatform)) {
      const int other = AnyNode();
      Cut(node, other, time);
      Cut(other, node, time);
      mOffPlatformUntil[node] = mNow + time;
    }
    // Two processes that both never joined can't be told apart; whichever is
    // last has the name.
    if (Chance(mSettings.mTwins) && IsRunning(node) && Node(node).IsMember()) {
      Twin(node);
    }
    if (Chance(mSettings.mMoves)) {
      std::uniform_int_distribution<int> shard(0, mSettings.mShards - 1);
      Move(shard(mRandom), AnyNode());
    }
    const process& process = mNodes[static_cast<std::size_t>(node)];
    if (Chance(mSettings.mDrains) && process.mFrozenUntil <= mNow) {
      Drain(node);
    }
    const bool is_replaced =
      mIsSupervised && process.mRuns && process.mMachine->IsFinished();
    if (is_replaced) {
      Restart(node);
    }
  }
  if (Chance(mSettings.mOutages)) {
    BreakPlatform(duration(trouble(mRandom)));
  }
  At(mNow + seconds(1), [this] { Misfortune(); });
}

void
cluster_model::EndTroubles()
{
  model_settings calm;
  calm.mNodes = mSettings.mNodes;
  calm.mShards = mSettings.mShards;
  calm.mTiming = mSettings.mTiming;
  mSettings = calm;
}

void
cluster_model::CheckOwners()
{
  std::map<int, std::string> owners;
  for (int node = 0; node < static_cast<int>(mNodes.size()); ++node) {
    const process& process = mNodes[static_cast<std::size_t>(node)];
    if (!process.mRuns || !process.mMachine->IsMember() ||
        process.mMachine->LeaseUntil() <= ClockOf(node)) {
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
        Say(mViolation);
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
    const bool acts = process.mRuns && process.mFrozenUntil <= mNow &&
                      process.mMachine->IsMember() &&
                      process.mMachine->LeaseUntil() > ClockOf(node);
    for (int shard = 0; acts && shard < mSettings.mShards; ++shard) {
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
  return mNodes[static_cast<std::size_t>(aNode)].mRuns;
}

instant
cluster_model::ClockOf(int aNode) const
{
  const process& process = mNodes[static_cast<std::size_t>(aNode)];
  const double own = static_cast<double>(mNow.count()) * process.mClockRate;
  return instant(kClockStart + process.mClockOffset +
                 duration(static_cast<std::int64_t>(own)));
}

bool
cluster_model::IsCut(int aFrom, int aTo) const
{
  const auto found = mCutUntil.find({ aFrom, aTo });
  return found != mCutUntil.end() && found->second > mNow;
}

duration
cluster_model::Delay()
{
  std::uniform_int_distribution<std::int64_t> delay(
    200, mSettings.mLongestDelay.count());
  return duration(delay(mRandom));
}

bool
cluster_model::Chance(int aOutOfThousand)
{
  std::uniform_int_distribution<int> thousand(0, 999);
  return thousand(mRandom) < aOutOfThousand;
}

int
cluster_model::AnyNode()
{
  std::uniform_int_distribution<int> node(0, mSettings.mNodes - 1);
  return node(mRandom);
}

} // namespace plantaindale::sessions
