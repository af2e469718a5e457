#include "plantaindale/request/peer_server.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/limits/admission_refusal.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/net/tcp_options.h"
#include "plantaindale/request/throttled_body.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

constexpr duration kIdleLimit = std::chrono::minutes(2);
constexpr duration kOutcomeTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kAcceptPause{ 20 };
// Large bodies received at the same time. More would saturate the link of a
// small VM and delay short requests.
constexpr int kMaxConcurrentTransfers = 2;
// A larger response may have a caller who reads it slowly. While the node where
// it entered can't hold more of it, that node doesn't read either.
constexpr std::size_t kMaxSmallResponse = 64 * 1024;

// Reads the body of one request from its frames. The request is cancelled if
// the other node closes the connection.
class frame_body : public body_source
{
public:
  frame_body(frame_stream& aFrames,
             const protocol::request_head& aHead,
             instant aDeadline,
             cancellation& aCancellation)
    : mFrames(aFrames)
    , mRequestId(aHead.request_id)
    , mAttempt(aHead.attempt_id)
    , mDeadline(aDeadline)
    , mCancellation(aCancellation)
    , mIsComplete(aHead.body_bytes == 0)
  {
    WatchForHangup();
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    if (mOffset == mChunk.size() && !mIsComplete) {
      if (absl::Status received = ReceiveChunk(); !received.ok()) {
        return received;
      }
    }
    const std::string_view rest = std::string_view(mChunk).substr(mOffset);
    const std::size_t count = rest.copy(aBuffer.data(), aBuffer.size());
    mOffset += count;
    return count;
  }

  bool IsFullyReceived() const { return mIsComplete; }

  // Reads the rest of a small body, which follows its head even if the request
  // is refused.
  void Discard()
  {
    while (!mIsComplete && ReceiveChunk().ok()) {
    }
  }

private:
  absl::Status ReceiveChunk()
  {
    auto frame = mFrames.Receive(mDeadline);
    if (!frame.ok()) {
      return frame.status();
    }
    const bool is_expected =
      frame->__isset.chunk && frame->chunk.request_id == mRequestId;
    if (!is_expected) {
      return MakeError(
        absl::StatusCode::kInvalidArgument,
        "receive_body",
        mFrames.Peer(),
        absl::StrCat("expected a chunk of request ", mRequestId));
    }
    mChunk = std::move(frame->chunk.bytes);
    mOffset = 0;
    if (frame->chunk.last) {
      mIsComplete = true;
      WatchForHangup();
    }
    return absl::OkStatus();
  }

  void WatchForHangup()
  {
    mWatch.emplace(
      mFrames.Stream().socket(),
      [this] {
        log_event("sender_closed")
          .With("request", mAttempt)
          .With("peer", mFrames.Peer())
          .With("read_us", (boot_clock::now() - mBeganAt).count());
        mCancellation.Cancel();
      },
      mIsComplete ? hangup_watch::mode::kExclusive
                  : hangup_watch::mode::kShared);
  }

  frame_stream& mFrames;
  std::int64_t mRequestId;
  std::string mAttempt;
  instant mBeganAt = boot_clock::now();
  instant mDeadline;
  cancellation& mCancellation;
  bool mIsComplete;
  std::string mChunk;
  std::size_t mOffset = 0;
  std::optional<hangup_watch> mWatch;
};

// Sends a response as frames. The head is queued until the second part of the
// body or the outcome, so that a small response is sent in one write.
class frame_sink : public response_sink
{
public:
  frame_sink(frame_stream& aFrames,
             const protocol::request_head& aHead,
             instant aDeadline)
    : mFrames(aFrames)
    , mRequestId(aHead.request_id)
    , mAwaitReady(aHead.await_ready)
    , mDeadline(aDeadline)
  {
  }
  frame_sink(const frame_sink&) = delete;
  frame_sink& operator=(const frame_sink&) = delete;
  ~frame_sink() override
  {
    if (mMayPause) {
      SetRequestOptions(mFrames.Stream().socket());
    }
  }

  absl::Status Ready() override
  {
    if (!mAwaitReady) {
      return absl::OkStatus();
    }
    protocol::ready ready;
    ready.request_id = mRequestId;
    protocol::traffic_frame frame;
    frame.__set_go(ready);
    return mFrames.Send(frame, mDeadline);
  }

  absl::Status Head(const protocol::answer_head& aHead) override
  {
    protocol::traffic_frame frame;
    frame.__set_answer(aHead);
    mFrames.Queue(frame);
    return absl::OkStatus();
  }

  absl::Status Body(std::span<const char> aBytes) override
  {
    // Sends what was queued before; the newest chunk stays queued to be sent
    // together with the outcome.
    if (mHasQueued) {
      AllowPauseOfLargeResponse();
      if (absl::Status sent = mFrames.Flush(mDeadline); !sent.ok()) {
        return sent;
      }
    }
    mHasQueued = true;
    protocol::body_chunk chunk;
    chunk.request_id = mRequestId;
    chunk.bytes.assign(aBytes.data(), aBytes.size());
    mBytes += aBytes.size();
    protocol::traffic_frame frame;
    frame.__set_chunk(std::move(chunk));
    mFrames.Queue(frame);
    return absl::OkStatus();
  }

private:
  void AllowPauseOfLargeResponse()
  {
    tcp_socket& socket = mFrames.Stream().socket();
    if (!mMayPause && mBytes > kMaxSmallResponse && !IsWritable(socket)) {
      mMayPause = true;
      AllowReadPause(socket,
                     std::chrono::ceil<std::chrono::milliseconds>(
                       mDeadline - boot_clock::now()));
    }
  }

  frame_stream& mFrames;
  std::int64_t mRequestId;
  bool mAwaitReady;
  instant mDeadline;
  bool mHasQueued = false;
  std::size_t mBytes = 0; // of the body, so far
  bool mMayPause = false;
};

} // namespace

peer_server::peer_server(boost::asio::io_context& aContext,
                         local_executor& aExecutor)
  : mContext(aContext)
  , mExecutor(aExecutor)
  , mAcceptor(aContext)
{
  mTransferLimiter.SetSlots(kMaxConcurrentTransfers);
}

absl::Status
peer_server::Listen(std::string_view aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
  boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  return absl::OkStatus();
}

void
peer_server::AcceptLoop()
{
  for (;;) {
    tcp_socket socket(mContext);
    io_result accepted = AwaitIo([&](auto aHandler) {
      mAcceptor.async_accept(socket, std::move(aHandler));
    });
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      ServeConnection(std::move(socket));
    }).detach();
  }
}

void
peer_server::ServeConnection(tcp_socket aSocket)
{
  boost::system::error_code error;
  SetRequestOptions(aSocket);
  const auto remote = aSocket.remote_endpoint(error);
  if (error) {
    return;
  }
  frame_stream frames(tcp_stream(std::move(aSocket)), ToText(remote));
  for (;;) {
    auto frame = frames.Receive(boot_clock::now() + kIdleLimit);
    if (!frame.ok() || !frame->__isset.head) {
      return;
    }
    if (!ServeRequest(frames, frame->head)) {
      return;
    }
  }
}

request_result
peer_server::RunThrottled(const protocol::request_head& aHead,
                          instant aDeadline,
                          body_source& aBody,
                          response_sink& aSink,
                          cancellation& aCancellation)
{
  const instant target = boot_clock::now() + duration(aHead.target_us);
  auto permit = mTransferLimiter.Acquire({ "",
                                           aHead.route,
                                           aHead.priority,
                                           target,
                                           aDeadline,
                                           aHead.is_call,
                                           &aCancellation });
  if (absl::IsCancelled(permit.status())) {
    return Withdrawn();
  }
  if (!permit.ok()) {
    request_result refused = MakeFailure(
      outcome_kind::not_run,
      kAdmitStep,
      "",
      absl::StrCat("transfers: ", std::string(Reason(permit.status()))));
    refused.mRoomIn = RoomExpectedIn(permit.status());
    return refused;
  }
  throttled_body body(aBody, *std::move(permit));
  return mExecutor.Run(aHead, aDeadline, body, aSink, aCancellation);
}

bool
peer_server::ServeRequest(frame_stream& aFrames,
                          const protocol::request_head& aHead)
{
  if (HasBeenClosed(aFrames.Stream().socket())) {
    // The sender gave up before this node read the request, for example because
    // this VM was paused.
    log_event("request_dropped", log_level::kWarning)
      .With("request", aHead.attempt_id)
      .With("service", aHead.service_name)
      .With("peer", aFrames.Peer())
      .With("reason",
            "the sender closed the connection before the request was read");
    return false;
  }
  const instant deadline = boot_clock::now() + duration(aHead.deadline_us);
  cancellation cancelled(
    [&aFrames] { return HasBeenClosed(aFrames.Stream().socket()); });
  frame_body body(aFrames, aHead, deadline, cancelled);
  frame_sink sink(aFrames, aHead, deadline);
  const request_result result =
    aHead.await_ready ? RunThrottled(aHead, deadline, body, sink, cancelled)
                      : mExecutor.Run(aHead, deadline, body, sink, cancelled);
  if (!aHead.await_ready) {
    body.Discard();
  }
  protocol::request_outcome outcome;
  outcome.request_id = aHead.request_id;
  outcome.kind = result.mKind;
  outcome.step = result.mStep;
  outcome.peer = result.mPeer;
  outcome.reason = result.mReason;
  outcome.outstanding = result.mOutstanding;
  outcome.was_sent = result.mWasSent;
  if (result.mRoom.mSlots > 0) {
    outcome.__set_room(ToMessage(result.mRoom));
  }
  outcome.retry_after_us = result.mRoomIn.count();
  protocol::traffic_frame frame;
  frame.__set_outcome(outcome);
  const instant send_by =
    std::max(deadline, boot_clock::now() + kOutcomeTimeout);
  const absl::Status sent = aFrames.Send(frame, send_by);
  return sent.ok() && body.IsFullyReceived() && !cancelled.IsCancelled();
}

} // namespace plantaindale
