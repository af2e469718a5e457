#include "plantaindale/node/server_presence.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"

namespace plantaindale {
namespace {

// A node has one server at a time, under few names.
constexpr std::size_t kMaxUnregistered = 64;
// Clocks differ by less. A start later than this can't be true, and would make
// all later heartbeats of the server look stale.
constexpr std::int64_t kMaxClockDifferenceMs = 24 * 3600 * 1000;

absl::Status
WrongServerError(const announced_server& aServer, std::string_view aReason)
{
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "take_notice",
                   aServer.mInstance,
                   aReason);
}

absl::Status
StaleNoticeError(const announced_server& aServer, std::string_view aReason)
{
  return MakeError(absl::StatusCode::kAlreadyExists,
                   "take_notice",
                   aServer.mInstance,
                   aReason);
}

} // namespace

server_presence::server_presence(expected_server aExpected,
                                 duration aHeartbeatTimeout,
                                 duration aRestoredTimeout)
  : mExpected(std::move(aExpected))
  , mHeartbeatTimeout(aHeartbeatTimeout)
  , mRestoredTimeout(std::min(aRestoredTimeout, aHeartbeatTimeout))
{
}

absl::Status
server_presence::OnNotice(const server_notice& aNotice, instant aNow)
{
  return aNotice.mKind == server_notice::kind::kLeaving
           ? OnLeaving(aNotice, aNow)
           : OnHeartbeat(aNotice, aNow);
}

absl::Status
server_presence::OnHeartbeat(const server_notice& aNotice, instant aNow)
{
  const announced_server& server = aNotice.mServer;
  if (!mExpected.mAddress.empty() && server.mAddress != mExpected.mAddress) {
    return WrongServerError(server,
                            absl::StrCat("expected a server at ",
                                         mExpected.mAddress,
                                         ", got ",
                                         server.mAddress));
  }
  if (!mExpected.mService.empty() && server.mService != mExpected.mService) {
    return WrongServerError(server,
                            absl::StrCat("expected a server of ",
                                         mExpected.mService,
                                         ", got ",
                                         server.mService));
  }
  const bool is_in_future =
    aNotice.mReceivedAt > 0 &&
    server.mStartedAt > aNotice.mReceivedAt + kMaxClockDifferenceMs;
  if (is_in_future) {
    return WrongServerError(server,
                            absl::StrCat("expected a start before now, got ",
                                         server.mStartedAt,
                                         " ms"));
  }
  const bool is_same = mServer && mServer->IsSameStart(server);
  if (mServer && !is_same && server.mStartedAt < mServer->mStartedAt) {
    return StaleNoticeError(
      server, "a later start of the server is already registered");
  }
  const bool is_stale =
    is_same && aNotice.mSequence > 0 && aNotice.mSequence <= mSequence;
  if (is_stale && server.mIsLeaving && !mServer->mIsLeaving) {
    MarkLeaving(aNow);
    return absl::OkStatus();
  }
  if (is_stale) {
    return StaleNoticeError(server,
                            absl::StrCat("expected a sequence number above ",
                                         mSequence,
                                         ", got ",
                                         aNotice.mSequence));
  }
  const bool was_leaving = is_same && mServer->mIsLeaving;
  if (!is_same) {
    mWasReady = false;
    mLeavingSince = instant::max();
  }
  mServer = server;
  mServer->mIsLeaving = was_leaving;
  if (server.mIsLeaving || LeftUnregistered(server)) {
    MarkLeaving(aNow);
  } else if (!was_leaving) {
    mWasReady = true;
  }
  mSequence = aNotice.mSequence;
  mIsRestored = false;
  mLastHeartbeatAt = aNow;
  mIsServerLost = false;
  return absl::OkStatus();
}

void
server_presence::MarkLeaving(instant aNow)
{
  mServer->mIsLeaving = true;
  mLeavingSince = std::min(mLeavingSince, mWasReady ? aNow : kNever);
}

bool
server_presence::LeftUnregistered(const announced_server& aServer) const
{
  const auto left = mUnregisteredLeaving.find(aServer.mInstance);
  return left != mUnregisteredLeaving.end() &&
         aServer.mStartedAt <= left->second;
}

absl::Status
server_presence::OnLeaving(const server_notice& aNotice, instant aNow)
{
  const std::string& instance = aNotice.mServer.mInstance;
  if (mServer && mServer->mInstance == instance) {
    MarkLeaving(aNow);
    return absl::OkStatus();
  }
  if (mUnregisteredLeaving.size() >= kMaxUnregistered) {
    mUnregisteredLeaving.erase(mUnregisteredLeaving.begin());
  }
  mUnregisteredLeaving[instance] = aNotice.mReceivedAt;
  return absl::OkStatus();
}

void
server_presence::OnSaidLeaving(std::string_view aInstance, instant aNow)
{
  if (mServer && mServer->mInstance == aInstance) {
    MarkLeaving(aNow);
  }
}

void
server_presence::RestoreServer(const announced_server& aServer, instant aNow)
{
  const bool is_foreign =
    !mExpected.mAddress.empty() && aServer.mAddress != mExpected.mAddress;
  const bool is_same = mServer && mServer->IsSameStart(aServer);
  if (is_foreign || (mServer && !is_same)) {
    return;
  }
  if (!mServer) {
    mServer = aServer;
    mIsRestored = true;
    mLastHeartbeatAt = aNow;
  }
  if (aServer.mIsLeaving || LeftUnregistered(aServer)) {
    // The former process was told so, at a time that is unknown.
    mWasReady = false;
    MarkLeaving(aNow);
  }
}

void
server_presence::Step(instant aNow)
{
  const duration timeout = mIsRestored ? mRestoredTimeout : mHeartbeatTimeout;
  const bool is_silent = mServer && mHeartbeatTimeout > duration(0) &&
                         aNow >= mLastHeartbeatAt + timeout;
  mIsServerLost = mIsServerLost || is_silent;
}

std::optional<announced_server>
server_presence::Server() const
{
  return mIsServerLost ? std::nullopt : mServer;
}

} // namespace plantaindale
