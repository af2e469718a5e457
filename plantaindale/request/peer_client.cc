#include "plantaindale/request/peer_client.h"

#include <algorithm>

#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_options.h"

namespace plantaindale {
namespace {

constexpr std::size_t kMaxIdlePerPeer = 64;
constexpr duration kMaxIdleTime = std::chrono::seconds(30);
constexpr duration kConnectTimeout = std::chrono::milliseconds(500);

// Runs one request on one connection.
class peer_exchange
{
public:
  peer_exchange(frame_stream& aFrames,
                const protocol::request_head& aHead,
                instant aDeadline)
    : mFrames(aFrames)
    , mHead(aHead)
    , mDeadline(aDeadline)
    , mChunk(aHead.body_bytes == 0 ? 0 : kChunkSize)
  {
  }

  request_result Run(body_source& aBody, response_sink& aSink)
  {
    protocol::traffic_frame frame;
    frame.__set_head(mHead);
    mFrames.Queue(frame);
    const bool has_body = mHead.body_bytes != 0;
    if (has_body && !mHead.await_ready) {
      request_result queued = SendBody(aBody);
      return queued.IsAnswered() ? ReceiveAnswer(aSink) : queued;
    }
    if (absl::Status sent = mFrames.Flush(mDeadline); !sent.ok()) {
      return Fail(outcome_kind::unknown, "send", Reason(sent));
    }
    if (!has_body) {
      return ReceiveAnswer(aSink);
    }
    return RunWhenReady(aBody, aSink);
  }

private:
  request_result Fail(outcome_kind::type aKind,
                      std::string_view aStep,
                      std::string_view aReason) const
  {
    return MakeFailure(aKind, aStep, mFrames.Peer(), aReason);
  }

  static request_result FromOutcome(const protocol::request_outcome& aOutcome,
                                    const std::string& aPeer)
  {
    request_result result{ aOutcome.kind,
                           aOutcome.step,
                           aOutcome.peer.empty() ? aPeer : aOutcome.peer,
                           aOutcome.reason,
                           aOutcome.outstanding,
                           aOutcome.was_sent };
    if (aOutcome.__isset.room) {
      result.mRoom = FromMessage(aOutcome.room, boot_clock::now());
    }
    result.mRoomIn = duration(aOutcome.retry_after_us);
    return result;
  }

  // Sends the body only after the other node has admitted the request. Until
  // then the request was provably not run.
  request_result RunWhenReady(body_source& aBody, response_sink& aSink)
  {
    auto frame = ReceiveForRequest();
    if (!frame.ok()) {
      return Fail(outcome_kind::not_run, "await_ready", Reason(frame.status()));
    }
    if (frame->__isset.outcome) {
      return FromOutcome(frame->outcome, mFrames.Peer());
    }
    if (!frame->__isset.go) {
      return Fail(outcome_kind::unknown,
                  "await_ready",
                  "expected a ready or outcome frame");
    }
    if (absl::Status ready = aSink.Ready(); !ready.ok()) {
      return Fail(outcome_kind::unknown, "ready", Reason(ready));
    }
    request_result sent = SendBody(aBody);
    return sent.IsAnswered() ? ReceiveAnswer(aSink) : sent;
  }

  // Returns `answered` once the whole body was sent.
  request_result SendBody(body_source& aBody)
  {
    for (;;) {
      auto got = aBody.Read(mChunk);
      if (!got.ok()) {
        return Fail(
          outcome_kind::unknown, "receive_body", Reason(got.status()));
      }
      protocol::body_chunk chunk;
      chunk.request_id = mHead.request_id;
      chunk.bytes.assign(mChunk.data(), *got);
      chunk.last = *got == 0;
      mSent += static_cast<std::int64_t>(*got);
      const bool is_whole = mHead.body_bytes > 0 && mSent >= mHead.body_bytes;
      chunk.last = chunk.last || is_whole;
      protocol::traffic_frame frame;
      frame.__set_chunk(std::move(chunk));
      mFrames.Queue(frame);
      if (absl::Status sent = mFrames.Flush(mDeadline); !sent.ok()) {
        return Fail(outcome_kind::unknown, "send_body", Reason(sent));
      }
      if (*got == 0 || is_whole) {
        return Answered();
      }
    }
  }

  request_result ReceiveAnswer(response_sink& aSink)
  {
    bool has_begun = false;
    for (;;) {
      auto frame = ReceiveForRequest();
      const auto failure_kind =
        has_begun ? outcome_kind::broken : outcome_kind::unknown;
      if (!frame.ok()) {
        return Fail(failure_kind, "receive", Reason(frame.status()));
      }
      absl::Status forwarded;
      if (frame->__isset.outcome) {
        return FromOutcome(frame->outcome, mFrames.Peer());
      }
      const bool is_head = frame->__isset.answer && !has_begun &&
                           IsFinalStatus(frame->answer.status);
      if (is_head) {
        has_begun = true;
        forwarded = aSink.Head(frame->answer);
      } else if (frame->__isset.chunk && has_begun) {
        forwarded = aSink.Body(frame->chunk.bytes);
      } else if (!frame->__isset.go) {
        return Fail(failure_kind,
                    "receive",
                    "expected the next answer, chunk or outcome frame");
      }
      if (!forwarded.ok()) {
        return Fail(outcome_kind::broken, "answer", Reason(forwarded));
      }
    }
  }

  // Receives the next frame of this request; drops frames of other requests.
  absl::StatusOr<protocol::traffic_frame> ReceiveForRequest()
  {
    for (;;) {
      auto frame = mFrames.Receive(mDeadline);
      if (!frame.ok() || RequestIdOf(*frame) == mHead.request_id) {
        return frame;
      }
    }
  }

  static std::int64_t RequestIdOf(const protocol::traffic_frame& aFrame)
  {
    if (aFrame.__isset.go) {
      return aFrame.go.request_id;
    }
    if (aFrame.__isset.answer) {
      return aFrame.answer.request_id;
    }
    if (aFrame.__isset.chunk) {
      return aFrame.chunk.request_id;
    }
    return aFrame.__isset.outcome ? aFrame.outcome.request_id : 0;
  }

  frame_stream& mFrames;
  const protocol::request_head& mHead;
  instant mDeadline;
  std::vector<char> mChunk;
  std::int64_t mSent = 0;
};

} // namespace

peer_client::peer_client(boost::asio::io_context& aContext)
  : mContext(aContext)
{
}

request_result
peer_client::Run(const std::string& aPeer,
                 const protocol::request_head& aHead,
                 instant aDeadline,
                 body_source& aBody,
                 response_sink& aSink,
                 cancellation& aCancellation)
{
  std::unique_ptr<frame_stream> frames = TakeIdle(aPeer);
  if (frames == nullptr) {
    auto connected = Connect(aPeer, aDeadline, aCancellation);
    if (!connected.ok()) {
      return MakeFailure(
        outcome_kind::not_run, "connect", aPeer, Reason(connected.status()));
    }
    frames = *std::move(connected);
  }
  if (aCancellation.Check()) {
    KeepIdle(std::move(frames));
    return Withdrawn();
  }
  request_result result;
  {
    const cancellation::action close(aCancellation,
                                     [&frames] { frames->Close(); });
    result = peer_exchange(*frames, aHead, aDeadline).Run(aBody, aSink);
  }
  // A connection on which a body was not transferred completely can't be
  // reused.
  const bool is_clean =
    result.IsAnswered() || (result.mOutstanding >= 0 && !aHead.await_ready &&
                            result.mKind == outcome_kind::not_run);
  if (is_clean && !aCancellation.IsCancelled()) {
    KeepIdle(std::move(frames));
  }
  return result;
}

std::unique_ptr<frame_stream>
peer_client::TakeIdle(const std::string& aPeer)
{
  std::vector<idle_connection>& idle = mIdle[aPeer];
  const instant oldest = boot_clock::now() - kMaxIdleTime;
  while (!idle.empty()) {
    idle_connection newest = std::move(idle.back());
    idle.pop_back();
    const bool is_usable = newest.mSince > oldest &&
                           !newest.mFrames->HasInput() &&
                           !HasHungUp(newest.mFrames->Stream().socket());
    if (is_usable) {
      return std::move(newest.mFrames);
    }
  }
  return nullptr;
}

absl::StatusOr<std::unique_ptr<frame_stream>>
peer_client::Connect(const std::string& aPeer,
                     instant aDeadline,
                     cancellation& aCancellation)
{
  auto endpoint = ParseEndpoint(aPeer);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  tcp_stream stream(mContext);
  ExpireAt(stream, std::min(aDeadline, boot_clock::now() + kConnectTimeout));
  const cancellation::action stop(aCancellation, [&stream] {
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
  });
  io_result connected = AwaitIo([&](auto aHandler) {
    stream.async_connect(*endpoint, std::move(aHandler));
  });
  if (connected.mError) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "connect",
                     aPeer,
                     connected.mError.message());
  }
  SetRequestOptions(stream.socket());
  return std::make_unique<frame_stream>(std::move(stream), aPeer);
}

void
peer_client::KeepIdle(std::unique_ptr<frame_stream> aFrames)
{
  std::vector<idle_connection>& idle = mIdle[aFrames->Peer()];
  if (idle.size() < kMaxIdlePerPeer) {
    idle.push_back({ std::move(aFrames), boot_clock::now() });
  }
}

} // namespace plantaindale
