#include "plantaindale/node/server_presence.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"

namespace plantaindale {
namespace {

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
                                 duration aHeartbeatTimeout)
  : mExpected(std::move(aExpected))
  , mHeartbeatTimeout(aHeartbeatTimeout)
{
}

absl::Status
server_presence::OnNotice(const server_notice& aNotice, instant aNow)
{
  return aNotice.mKind == server_notice::kind::kLeaving
           ? OnLeaving(aNotice)
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
  const bool is_same = mServer && mServer->IsSameStart(server);
  if (mServer && !is_same && server.mStartedAt < mServer->mStartedAt) {
    return StaleNoticeError(
      server, "a later start of the server is already registered");
  }
  if (is_same && aNotice.mSequence > 0 && aNotice.mSequence <= mSequence) {
    return StaleNoticeError(server,
                            absl::StrCat("expected a sequence number above ",
                                         mSequence,
                                         ", got ",
                                         aNotice.mSequence));
  }
  const bool was_leaving = is_same && mServer->mIsLeaving;
  mServer = server;
  mServer->mIsLeaving = server.mIsLeaving || was_leaving;
  mSequence = aNotice.mSequence;
  mLastHeartbeatAt = aNow;
  mIsServerLost = false;
  return absl::OkStatus();
}

absl::Status
server_presence::OnLeaving(const server_notice& aNotice)
{
  const bool is_known =
    mServer && mServer->mInstance == aNotice.mServer.mInstance;
  if (!is_known) {
    return StaleNoticeError(aNotice.mServer, "the server is not registered");
  }
  mServer->mIsLeaving = true;
  return absl::OkStatus();
}

void
server_presence::OnSaidLeaving(std::string_view aInstance)
{
  if (mServer && mServer->mInstance == aInstance) {
    mServer->mIsLeaving = true;
  }
}

void
server_presence::RestoreServer(const announced_server& aServer, instant aNow)
{
  const bool is_foreign =
    !mExpected.mAddress.empty() && aServer.mAddress != mExpected.mAddress;
  if (mServer || is_foreign) {
    return;
  }
  mServer = aServer;
  mLastHeartbeatAt = aNow;
}

void
server_presence::Step(instant aNow)
{
  const bool is_silent = mServer && mHeartbeatTimeout > duration(0) &&
                         aNow >= mLastHeartbeatAt + mHeartbeatTimeout;
  mIsServerLost = mIsServerLost || is_silent;
}

std::optional<announced_server>
server_presence::Server() const
{
  return mIsServerLost ? std::nullopt : mServer;
}

} // namespace plantaindale
