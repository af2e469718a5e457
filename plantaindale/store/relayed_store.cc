#include "plantaindale/store/relayed_store.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/store/write_conflict.h"

namespace plantaindale {
namespace {

// After a failure of the store, calls go to peers for this long before the
// store is called directly again.
constexpr duration kCircuitOpenTime = std::chrono::milliseconds(1500);
// Exceeds the 1 s timeout of the peer's own call to the store.
constexpr std::chrono::milliseconds kRelayTimeout{ 1200 };

// Whether the store could not be reached or gave no usable response, rather
// than rejected the call.
bool
IsStoreFailure(const absl::Status& aStatus)
{
  return absl::IsUnavailable(aStatus) || absl::IsUnknown(aStatus);
}

} // namespace

relayed_store::relayed_store(object_store& aDirect, relay_peers aPeers)
  : mDirect(aDirect)
  , mPeers(std::move(aPeers))
  , mNextCallId(mPeers.mFirstCallId)
{
}

absl::StatusOr<object_delta>
relayed_store::List()
{
  return mDirect.List();
}

absl::StatusOr<object_delta>
relayed_store::Watch(std::int64_t aAfter)
{
  return mDirect.Watch(aAfter);
}

absl::StatusOr<object_delta>
relayed_store::AwaitConfiguration(duration aTime)
{
  return mDirect.AwaitConfiguration(aTime);
}

bool
relayed_store::IsCircuitOpen() const
{
  return boot_clock::now() < mCircuitOpenUntil;
}

void
relayed_store::RecordDirectResult(const absl::Status& aStatus)
{
  const bool was_open = IsCircuitOpen();
  if (!IsStoreFailure(aStatus)) {
    mCircuitOpenUntil = kNever;
    return;
  }
  mCircuitOpenUntil = boot_clock::now() + kCircuitOpenTime;
  if (!was_open) {
    log_event("store_turns_away", log_level::kWarning)
      .With("reason", Reason(aStatus));
  }
}

absl::StatusOr<stored_object>
relayed_store::Get(std::string_view aKind, std::string_view aName)
{
  if (!IsCircuitOpen()) {
    auto found = mDirect.Get(aKind, aName);
    RecordDirectResult(found.status());
    if (!IsStoreFailure(found.status())) {
      return found;
    }
  }
  protocol::store_call call;
  call.is_write = false;
  call.kind = aKind;
  call.name = aName;
  return Relay(std::move(call));
}

absl::StatusOr<stored_object>
relayed_store::Write(const conditional_write& aWrite)
{
  if (!IsCircuitOpen()) {
    auto written = mDirect.Write(aWrite);
    RecordDirectResult(written.status());
    if (!absl::IsUnavailable(written.status())) {
      // A write that may have taken effect is not repeated through a peer; the
      // caller reads the object first.
      return written;
    }
  }
  protocol::store_call call;
  call.is_write = true;
  call.kind = aWrite.mKind;
  call.name = aWrite.mName;
  call.base_revision = aWrite.mBaseRevision;
  call.body = aWrite.mBody;
  return Relay(std::move(call));
}

absl::StatusOr<stored_object>
relayed_store::Relay(protocol::store_call aCall)
{
  const std::string peer = mPeers.mChoosePeer();
  if (peer.empty()) {
    return MakeError(
      absl::StatusCode::kUnavailable,
      "relay",
      "",
      "store is unreachable and no peer is known to relay the call");
  }
  aCall.call_id = mNextCallId++;
  aCall.reply_address = mPeers.mReplyAddress;
  const auto pending = std::make_shared<pending_call>();
  mCalls[aCall.call_id] = pending;
  protocol::control_message message;
  message.__set_ask_store(aCall);
  mPeers.mSend(peer, message);
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  pending->mChanged.wait_for(
    lock, kRelayTimeout, [&] { return pending->mIsAnswered; });
  lock.unlock();
  mCalls.erase(aCall.call_id);
  if (!pending->mIsAnswered) {
    return MakeError(absl::StatusCode::kUnknown,
                     "relay",
                     peer,
                     absl::StrCat("no response from peer within ",
                                  kRelayTimeout.count(),
                                  " ms"));
  }
  log_event("store_relayed")
    .With("peer", peer)
    .With("kind", aCall.kind)
    .With("name", aCall.name)
    .With("write", aCall.is_write ? "yes" : "no")
    .With("base", aCall.base_revision)
    .With("code", pending->mResult.code);
  if (pending->mResult.code != 0) {
    const absl::Status refused(
      static_cast<absl::StatusCode>(pending->mResult.code),
      pending->mResult.reason);
    return pending->mResult.object.revision > 0
             ? WithCurrentObject(refused, pending->mResult.object)
             : refused;
  }
  return pending->mResult.object;
}

void
relayed_store::OnResult(const protocol::store_result& aResult)
{
  const auto found = mCalls.find(aResult.call_id);
  if (found == mCalls.end()) {
    return;
  }
  found->second->mResult = aResult;
  found->second->mIsAnswered = true;
  found->second->mChanged.notify_all();
}

protocol::store_result
relayed_store::Serve(const protocol::store_call& aCall)
{
  const auto answer =
    aCall.is_write
      ? mDirect.Write(
          { aCall.kind, aCall.name, aCall.base_revision, aCall.body })
      : mDirect.Get(aCall.kind, aCall.name);
  RecordDirectResult(answer.status());
  protocol::store_result result;
  result.call_id = aCall.call_id;
  result.code = static_cast<std::int32_t>(answer.status().code());
  result.reason = std::string(answer.status().message());
  if (answer.ok()) {
    result.object = *answer;
  } else if (const auto current = CurrentObject(answer.status())) {
    result.object = *current;
  }
  return result;
}

} // namespace plantaindale
