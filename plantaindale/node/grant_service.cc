#include "plantaindale/node/grant_service.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/shards/shard_page.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

// Interval of checks for due grants while nothing changes. The lease is
// extended every 300 ms.
constexpr std::chrono::milliseconds kSendInterval{ 50 };
// Shards drained within this interval are released in one call.
constexpr std::chrono::milliseconds kReleaseBatchWindow{ 10 };
constexpr std::chrono::milliseconds kInFlightPollInterval{ 5 };
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
// Servers answer grants and releases by their status and header fields.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

void
SleepUntil(instant aTime)
{
  const instant now = boot_clock::now();
  if (now < aTime) {
    boost::this_fiber::sleep_for(aTime - now);
  }
}

} // namespace

grant_service::grant_service(boost::asio::io_context& aContext,
                             const server_protocol& aProtocol,
                             routing_state& aRoutingState,
                             on_released aOnReleased)
  : mContext(aContext)
  , mProtocol(aProtocol)
  , mRoutingState(aRoutingState)
  , mOnReleased(std::move(aOnReleased))
  , mSession(aContext)
{
}

void
grant_service::Start()
{
  boost::fibers::fiber([this] { SendLoop(); }).detach();
}

void
grant_service::Update(const std::optional<announced_server>& aServer,
                      const cluster_view& aView,
                      const node_identity& aSelf,
                      const std::set<shard_id>& aClosed,
                      instant aLeaseUntil)
{
  const bool has_restarted =
    mServer && (!aServer || !mServer->IsSameStart(*aServer));
  if (has_restarted) {
    mFormerServerHoldsUntil = mLedger.AnyMayHoldUntil();
    mLedger.ForgetServerState();
    mReleased.clear();
  }
  mServer = aServer;
  mSelf = aSelf;
  mLeaseUntil = aLeaseUntil;
  const service_configuration* service =
    mServer ? aView.Configuration().Find(mServer->mService) : nullptr;
  if (service == nullptr || !service->mKey || service->mKey->mNumbers == 0) {
    mLedger.SetDesired({});
    Publish();
    return;
  }
  mService = service->mName;
  mShardCount = service->mShards;
  mKeySpaceSize = service->mKey->mNumbers;
  std::erase_if(mReleased, [&](int aShard) {
    return !aClosed.contains({ service->mName, aShard });
  });
  std::vector<desired_shard> desired;
  for (int page = 0; page < PageCount(mShardCount); ++page) {
    const auto stored = aView.FindPage(service->mName, page);
    if (stored == nullptr) {
      continue;
    }
    for (std::size_t offset = 0; offset < stored->mEntries.size(); ++offset) {
      const shard_entry& entry = stored->mEntries[offset];
      const int shard = stored->FirstShard() + static_cast<int>(offset);
      if (entry.mOwner == aSelf && !mReleased.contains(shard)) {
        desired.push_back({ shard, entry.mEpoch, entry.mHandover });
      }
    }
  }
  mLedger.SetDesired(std::move(desired));
  Publish();
  mChanged.notify_all();
}

void
grant_service::ExtendLease(instant aLeaseUntil)
{
  mLeaseUntil = aLeaseUntil;
  mChanged.notify_all();
}

void
grant_service::Release(std::vector<shard_id> aShards)
{
  if (aShards.empty()) {
    return;
  }
  if (!mServer || mServer->mService != aShards.front().mService) {
    boost::fibers::fiber([this, shards = std::move(aShards)] {
      SleepUntil(mFormerServerHoldsUntil);
      mOnReleased(shards, "");
    }).detach();
    return;
  }
  std::set<int> indices;
  for (const shard_id& shard : aShards) {
    indices.insert(shard.mIndex);
  }
  mReleased.insert(indices.begin(), indices.end());
  mLedger.StopGranting(indices);
  if (mToRelease.empty()) {
    boost::fibers::fiber([this] {
      boost::this_fiber::sleep_for(kReleaseBatchWindow);
      StartReleases();
    }).detach();
  }
  mToRelease.insert(indices.begin(), indices.end());
}

void
grant_service::SendLoop()
{
  for (;;) {
    SendDue();
    std::unique_lock<boost::fibers::mutex> lock(mMutex);
    mChanged.wait_for(lock, kSendInterval);
  }
}

void
grant_service::SendDue()
{
  while (mServer) {
    auto due = mLedger.NextDue(boot_clock::now(), mLeaseUntil);
    if (!due || !Connect(*due)) {
      return;
    }
    // Connecting takes time, in which the server and the lease may change.
    due =
      mServer ? mLedger.NextDue(boot_clock::now(), mLeaseUntil) : std::nullopt;
    if (!due) {
      return;
    }
    Send(*due);
  }
}

bool
grant_service::Connect(const grant_range& aDue)
{
  const auto connected =
    mSession.EnsureConnected(mServer->mAddress, kConnectTimeout);
  if (connected.mIsNew) {
    ++mConnections;
    mIsConnectionNew = true;
  }
  if (connected.mStatus.ok()) {
    return true;
  }
  mLedger.OnNotSent(aDue, boot_clock::now());
  Publish();
  LogNotSent(aDue, connected.mStatus);
  return false;
}

key_grant
grant_service::ToGrant(const grant_range& aRange) const
{
  key_grant grant;
  grant.mKeys.mFrom =
    RangeOfShard(aRange.mFirst, mShardCount, mKeySpaceSize).mFrom;
  grant.mKeys.mTo = RangeOfShard(aRange.mLast, mShardCount, mKeySpaceSize).mTo;
  grant.mFence = aRange.mFence;
  grant.mHold =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRange.mHold);
  grant.mHandover = aRange.mHandover;
  return grant;
}

void
grant_service::Send(const grant_range& aRange)
{
  const announced_server server = *mServer;
  const instant sent_at = boot_clock::now();
  const bool is_first_grant = mLedger.LastFence(aRange.mFirst) < aRange.mFence;
  mLedger.OnSent(aRange, sent_at);
  mInFlight = aRange;
  http_request request = mProtocol.MakeGrantRequest(server, ToGrant(aRange));
  request.mMaxResponseBytes = kMaxAnswerBytes;
  if (std::exchange(mIsConnectionNew, false)) {
    LogGrant("grant_on_new_connection", server, aRange);
  }
  const auto answer = mSession.CallOnConnection(request);
  mInFlight.reset();
  const bool is_same_server = mServer && mServer->IsSameStart(server);
  if (!is_same_server) {
    LogGrant("grant_discarded", server, aRange);
    return;
  }
  const instant now = boot_clock::now();
  const bool was_granted = answer.ok() && answer->mStatus == kHttpOk;
  if (was_granted) {
    mLedger.OnGranted(aRange, sent_at);
    Publish();
  } else {
    const bool was_refused = answer.ok() && answer->mStatus / 100 == 4;
    mLedger.OnFailed(aRange, now, was_refused);
  }
  if (was_granted && !is_first_grant) {
    return; // successful renewals are too frequent to log
  }
  log_event event("grant",
                  was_granted ? log_level::kInfo : log_level::kWarning);
  event.With("server", server.mInstance)
    .With("first", aRange.mFirst)
    .With("last", aRange.mLast)
    .With("fence", aRange.mFence)
    .With("hold_us", aRange.mHold.count())
    .With("warm", aRange.mHandover.empty() ? "no" : "yes");
  if (!answer.ok()) {
    event.With("outcome", "no_answer").With("reason", Reason(answer.status()));
  } else if (answer->mStatus == kHttpConflict) {
    event.With("outcome", "higher_fence_seen");
  } else {
    event.With("outcome", answer->mStatus);
  }
}

void
grant_service::LogNotSent(const grant_range& aDue,
                          const absl::Status& aReason) const
{
  log_event("grant", log_level::kWarning)
    .With("server", mServer ? mServer->mInstance : "")
    .With("first", aDue.mFirst)
    .With("last", aDue.mLast)
    .With("fence", aDue.mFence)
    .With("outcome", "not_sent")
    .With("reason", Reason(aReason));
}

// What is needed to tell which process got the grant, under which lease.
void
grant_service::LogGrant(std::string_view aEvent,
                        const announced_server& aServer,
                        const grant_range& aRange) const
{
  log_event(aEvent)
    .With("server", aServer.mInstance)
    .With("started_at", aServer.mStartedAt)
    .With("node", ToText(mSelf))
    .With("connection", mConnections)
    .With("first", aRange.mFirst)
    .With("last", aRange.mLast)
    .With("fence", aRange.mFence)
    .With("lease_left_us",
          mLeaseUntil == kNever ? 0
                                : (mLeaseUntil - boot_clock::now()).count());
}

bool
grant_service::IsInFlight(int aFirst, int aLast) const
{
  return mInFlight && mInFlight->mFirst <= aLast && aFirst <= mInFlight->mLast;
}

void
grant_service::StartReleases()
{
  const std::set<int> shards = std::exchange(mToRelease, {});
  if (!mServer) {
    SleepUntil(mFormerServerHoldsUntil);
    std::vector<shard_id> released;
    for (const int shard : shards) {
      released.push_back({ mService, shard });
    }
    mOnReleased(std::move(released), "");
    return;
  }
  for (auto begin = shards.begin(); begin != shards.end();) {
    auto last = begin;
    auto end = std::next(begin);
    while (end != shards.end() && *end == *last + 1 &&
           !IsFirstShardOfPage(*end)) {
      last = end++;
    }
    boost::fibers::fiber([this, server = *mServer, from = *begin, to = *last] {
      ReleaseRange(server, from, to);
    }).detach();
    begin = end;
  }
}

void
grant_service::ReleaseRange(announced_server aServer, int aFirst, int aLast)
{
  while (IsInFlight(aFirst, aLast)) {
    boost::this_fiber::sleep_for(kInFlightPollInterval);
  }
  grant_range range{ aFirst, aLast, 0, "", duration(0) };
  instant may_hold_until = kNever;
  instant in_doubt_until = kNever;
  for (int shard = aFirst; shard <= aLast; ++shard) {
    range.mFence = std::max(range.mFence, mLedger.LastFence(shard));
    may_hold_until = std::max(may_hold_until, mLedger.MayHoldUntil(shard));
    in_doubt_until = std::max(in_doubt_until, mLedger.InDoubtUntil(shard));
  }
  std::string handover;
  std::string outcome = "never_granted";
  if (range.mFence > 0) {
    http_request request =
      mProtocol.MakeReleaseRequest(aServer, ToGrant(range));
    request.mMaxResponseBytes = kMaxAnswerBytes;
    const auto answer = HttpCall(mContext, request);
    const bool was_released = answer.ok() && answer->mStatus == kHttpOk;
    if (was_released) {
      handover = mProtocol.ParseHandover(*answer);
      outcome = "released";
    } else {
      outcome = answer.ok() ? absl::StrCat("status_", answer->mStatus)
                            : std::string(Reason(answer.status()));
    }
    SleepUntil(was_released ? in_doubt_until : may_hold_until);
  }
  log_event("release")
    .With("server", aServer.mInstance)
    .With("first", aFirst)
    .With("last", aLast)
    .With("fence", range.mFence)
    .With("warm", handover.empty() ? "no" : "yes")
    .With("outcome", outcome);
  mLedger.OnReleased(aFirst, aLast);
  std::vector<shard_id> released;
  for (int shard = aFirst; shard <= aLast; ++shard) {
    released.push_back({ aServer.mService, shard });
  }
  mOnReleased(std::move(released), handover);
}

void
grant_service::Publish()
{
  std::vector<held_range> held = mLedger.Held();
  if (held == mPublished) {
    return;
  }
  mPublished = held;
  auto keys = std::make_shared<held_shards>();
  keys->mService = mServer ? mServer->mService : "";
  keys->mRanges = std::move(held);
  mRoutingState.PublishHeldShards(std::move(keys));
}

} // namespace plantaindale
