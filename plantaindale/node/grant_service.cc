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
                             on_released aOnReleased,
                             std::function<void()> aOnRefused,
                             std::function<void()> aOnUsedUp,
                             instant aFormerHoldUntil)
  : mContext(aContext)
  , mProtocol(aProtocol)
  , mRoutingState(aRoutingState)
  , mOnReleased(std::move(aOnReleased))
  , mOnRefused(std::move(aOnRefused))
  , mOnUsedUp(std::move(aOnUsedUp))
  , mSession(aContext)
  , mLedger(aFormerHoldUntil)
{
}

void
grant_service::Start()
{
  boost::fibers::fiber([this] { SendLoop(); }).detach();
}

void
grant_service::Update(const std::optional<grant_binding>& aBinding,
                      const cluster_view& aView,
                      const std::set<shard_id>& aClosed,
                      instant aLeaseUntil)
{
  const bool has_ended =
    mIsBound && (!aBinding || !mBinding->IsSameStart(*aBinding));
  if (has_ended) {
    mLedger.ForgetServerState();
  }
  const bool is_new_incarnation =
    aBinding && mBinding && aBinding->Node() != mBinding->Node();
  if (is_new_incarnation) {
    mReleased.clear(); // it owns no shard yet
  }
  mIsBound = aBinding.has_value();
  if (aBinding) {
    grant_binding binding = *aBinding;
    if (mBinding) {
      binding.ContinueFrom(*mBinding);
    }
    mBinding = std::move(binding);
  }
  mLeaseUntil = aLeaseUntil;
  const service_configuration* service =
    mIsBound ? aView.Configuration().Find(mBinding->Server().mService)
             : nullptr;
  if (service == nullptr || !service->mKey || service->mKey->mNumbers == 0) {
    mLedger.SetDesired({});
    Publish();
    return;
  }
  if (mService != service->mName) {
    // Epochs of different services aren't comparable.
    mLedger.ForgetShards();
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
      if (entry.mOwner == mBinding->Node() && !mReleased.contains(shard)) {
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
  std::set<int> indices;
  for (const shard_id& shard : aShards) {
    indices.insert(shard.mIndex);
  }
  if (mService == aShards.front().mService) {
    mReleased.insert(indices.begin(), indices.end());
    mLedger.StopGranting(indices);
  }
  if (!mIsBound || mBinding->Server().mService != aShards.front().mService) {
    boost::fibers::fiber([this, shards = std::move(aShards)] {
      SleepUntil(mLedger.EveryHoldEndsBy());
      mOnReleased(shards, "");
    }).detach();
    return;
  }
  if (mToRelease.empty()) {
    boost::fibers::fiber([this] {
      boost::this_fiber::sleep_for(kReleaseBatchWindow);
      StartReleases();
    }).detach();
  }
  mToRelease.insert(indices.begin(), indices.end());
}

void
grant_service::VerifyServer()
{
  mMustVerify = true;
  mChanged.notify_all();
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
  if (std::exchange(mMustVerify, false) && mIsBound && !Connect(nullptr)) {
    return;
  }
  while (mIsBound) {
    auto due = mLedger.NextDue(boot_clock::now(), mLeaseUntil);
    if (!due || !Connect(&*due)) {
      return;
    }
    if (mIsConnectionNew) {
      // Connecting takes time, in which the binding and the lease may change.
      due = mLedger.NextDue(boot_clock::now(), mLeaseUntil);
    }
    if (!mIsBound || !due) {
      return;
    }
    const auto token = mBinding->Token(due->mFence);
    if (!token) {
      mLedger.OnNotSent(*due, boot_clock::now());
      LogNotSent(*due, "no token is left for the connection");
      mOnUsedUp();
      return;
    }
    due->mToken = *token;
    Send(*due);
  }
}

bool
grant_service::Connect(const grant_range* aDue)
{
  const auto connected =
    mSession.EnsureConnected(mBinding->Server().mAddress, kConnectTimeout);
  if (connected.mStatus.ok()) {
    if (connected.mIsNew || mBinding->Connection() == 0) {
      mBinding->AddConnection();
      mIsConnectionNew = true;
    }
    return true;
  }
  if (aDue != nullptr) {
    mLedger.OnNotSent(*aDue, boot_clock::now());
    Publish();
    LogNotSent(*aDue, Reason(connected.mStatus));
  }
  if (connected.mWasRefused) {
    // One that leaves may have stopped listening while it finishes its work.
    if (!mBinding->Server().mIsLeaving) {
      mLedger.OnServerEnded();
    }
    mOnRefused();
  }
  return false;
}

key_grant
grant_service::ToGrant(const grant_range& aRange) const
{
  key_grant grant;
  grant.mKeys.mFrom =
    RangeOfShard(aRange.mFirst, mShardCount, mKeySpaceSize).mFrom;
  grant.mKeys.mTo = RangeOfShard(aRange.mLast, mShardCount, mKeySpaceSize).mTo;
  grant.mFence = aRange.mToken;
  grant.mHold =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRange.mHold);
  grant.mHandover = aRange.mHandover;
  return grant;
}

void
grant_service::Send(const grant_range& aRange)
{
  const grant_binding binding = *mBinding;
  const announced_server& server = binding.Server();
  const instant sent_at = boot_clock::now();
  const bool is_first_grant = mLedger.LastFence(aRange.mFirst) < aRange.mFence;
  mLedger.OnSent(aRange, sent_at);
  mInFlight = aRange;
  http_request request = mProtocol.MakeGrantRequest(server, ToGrant(aRange));
  request.mMaxResponseBytes = kMaxServerAnswerBytes;
  if (std::exchange(mIsConnectionNew, false)) {
    LogGrant("grant_on_new_connection", binding, aRange);
  }
  const auto answer = mSession.CallOnConnection(request);
  mInFlight.reset();
  if (!mIsBound || !mBinding->IsSameStart(binding)) {
    LogGrant("grant_discarded", binding, aRange);
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
    .With("fence", aRange.mToken)
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
                          std::string_view aReason) const
{
  log_event("grant", log_level::kWarning)
    .With("server", mBinding->Server().mInstance)
    .With("first", aDue.mFirst)
    .With("last", aDue.mLast)
    .With("fence", aDue.mFence)
    .With("outcome", "not_sent")
    .With("reason", aReason);
}

// What is needed to tell which process got the grant, under which lease.
void
grant_service::LogGrant(std::string_view aEvent,
                        const grant_binding& aBinding,
                        const grant_range& aRange) const
{
  log_event(aEvent)
    .With("server", aBinding.Server().mInstance)
    .With("started_at", aBinding.Server().mStartedAt)
    .With("node", ToText(aBinding.Node()))
    .With("connection", aBinding.Connection())
    .With("first", aRange.mFirst)
    .With("last", aRange.mLast)
    .With("fence", aRange.mToken)
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
  if (!mIsBound) {
    SleepUntil(mLedger.EveryHoldEndsBy());
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
    boost::fibers::fiber([this,
                          binding = *mBinding,
                          from = *begin,
                          to = *last] {
      ReleaseRange(binding, from, to);
    }).detach();
    begin = end;
  }
}

void
grant_service::ReleaseRange(grant_binding aBinding, int aFirst, int aLast)
{
  const announced_server& server = aBinding.Server();
  while (IsInFlight(aFirst, aLast)) {
    boost::this_fiber::sleep_for(kInFlightPollInterval);
  }
  grant_range range;
  range.mFirst = aFirst;
  range.mLast = aLast;
  instant may_hold_until = kNever;
  instant in_doubt_until = kNever;
  for (int shard = aFirst; shard <= aLast; ++shard) {
    range.mToken = std::max(range.mToken, mLedger.LastToken(shard));
    may_hold_until = std::max(may_hold_until, mLedger.MayHoldUntil(shard));
    in_doubt_until = std::max(in_doubt_until, mLedger.InDoubtUntil(shard));
  }
  std::string handover;
  std::string outcome = "never_granted";
  bool was_released = false;
  if (range.mToken > 0) {
    http_request request = mProtocol.MakeReleaseRequest(server, ToGrant(range));
    request.mMaxResponseBytes = kMaxServerAnswerBytes;
    const auto answer = HttpCall(mContext, request);
    was_released = answer.ok() && answer->mStatus == kHttpOk;
    if (was_released) {
      handover = mProtocol.ParseHandover(*answer);
      outcome = "released";
    } else {
      outcome = answer.ok() ? absl::StrCat("status_", answer->mStatus)
                            : std::string(Reason(answer.status()));
    }
  }
  SleepUntil(was_released ? in_doubt_until : may_hold_until);
  log_event("release")
    .With("server", server.mInstance)
    .With("first", aFirst)
    .With("last", aLast)
    .With("fence", range.mToken)
    .With("warm", handover.empty() ? "no" : "yes")
    .With("outcome", outcome);
  mLedger.OnReleased(aFirst, aLast);
  std::vector<shard_id> released;
  for (int shard = aFirst; shard <= aLast; ++shard) {
    released.push_back({ server.mService, shard });
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
  keys->mService = mIsBound ? mBinding->Server().mService : "";
  keys->mRanges = std::move(held);
  mRoutingState.PublishHeldShards(std::move(keys));
}

} // namespace plantaindale
