// caller_sink sends a response to a caller. The head is sent together with the
// first part of the body. While other requests of the connection are
// outstanding, or the caller of a large response reads slowly, it holds the
// response in memory as far as there is room, and then blocks its sender.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "plantaindale/base/log_event.h"
#include "plantaindale/limits/byte_budget.h"
#include "plantaindale/net/tcp_options.h"
#include "plantaindale/request/caller_body.h"
#include "plantaindale/request/held_body.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/response_gate.h"
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace plantaindale {

// Used only by the fiber of its request.
class caller_sink : public response_sink
{
public:
  // `aSlowReaders` bounds what is held for callers who read slowly; null: such
  // a caller blocks the sender at once. What can't be held and is not read by
  // `aDeadline` is given up with the response: its server doesn't keep it
  // longer.
  caller_sink(tcp_stream& aStream,
              const caller_parser& aParser,
              response_gate& aGate,
              byte_budget* aSlowReaders,
              instant aDeadline)
    : mStream(aStream)
    , mGate(aGate)
    , mIsHead(aParser.get().method() == http::verb::head)
    , mExpectsContinue(boost::beast::iequals(aParser.get()[http::field::expect],
                                             "100-continue"))
  {
    if (aSlowReaders != nullptr) {
      mShare.emplace(*aSlowReaders);
      mReadBy = aDeadline;
    }
  }

  absl::Status Ready() override
  {
    if (!std::exchange(mExpectsContinue, false)) {
      return absl::OkStatus();
    }
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    ExpireAt(mStream, boot_clock::now() + kCallerIoTimeout);
    return ToStatus(AwaitIo([&](auto aHandler) {
      http::async_write(mStream, continue_response, std::move(aHandler));
    }));
  }

  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mAnswer.result(static_cast<unsigned>(aHead.status));
    mAnswer.version(11);
    AddFields(aHead.fields, mAnswer);
    if (aHead.body_bytes >= 0) {
      mAnswer.content_length(static_cast<std::uint64_t>(aHead.body_bytes));
    } else if (!mIsHead && MayHaveBody(aHead.status)) {
      mAnswer.chunked(true);
    }
    return absl::OkStatus();
  }

  absl::Status Body(std::span<const char> aBytes) override
  {
    const bool may_hold = !HasBegun() && mGate.ShouldHold();
    if (may_hold && mGate.TryHold(aBytes.size())) {
      mHeld.Add(aBytes);
      return absl::OkStatus();
    }
    if (mShare && mGate.IsTurn()) {
      if (absl::Status sent = SendHeldWhileWritable(); !sent.ok()) {
        return sent;
      }
      const bool must_wait = !mHeld.IsEmpty() || IsSlow();
      if (must_wait && mShare->TryTake(aBytes.size())) {
        mHeld.Add(aBytes);
        return absl::OkStatus();
      }
      if (must_wait && !std::exchange(mIsWaitLogged, true)) {
        log_event("slow_reader")
          .With("sent_bytes", mWrittenBytes)
          .With("held_bytes", mShare->Held())
          .With("held_in_all_bytes", mShare->Budget().Held())
          .With("deadline_in_us", (mReadBy - boot_clock::now()).count());
      }
    }
    if (absl::Status sent = SendHeld(); !sent.ok()) {
      return sent;
    }
    return Write(aBytes);
  }

  // Sends the rest of a complete response.
  absl::Status Finish()
  {
    mReadBy = instant::max();
    if (absl::Status sent = SendHeld(); !sent.ok()) {
      return sent;
    }
    if (std::exchange(mMayPause, false)) {
      SetRequestOptions(mStream.socket());
    }
    if (mSerializer && mSerializer->is_done()) {
      return absl::OkStatus();
    }
    return Write({});
  }

  // Whether a part of the response has been sent.
  bool HasBegun() const { return mSerializer.has_value(); }
  // Whether the connection stays open after the response, which has begun.
  bool KeepsAlive() const { return mKeepAlive; }

private:
  static bool MayHaveBody(int aStatus)
  {
    return aStatus >= 200 && aStatus != 204 && aStatus != 304;
  }

  // Waits for the turn and sends what was held until then.
  absl::Status SendHeld()
  {
    if (absl::Status turn = mGate.AwaitTurn(); !turn.ok()) {
      return turn;
    }
    while (!mHeld.IsEmpty()) {
      if (absl::Status sent = SendFirstHeld(); !sent.ok()) {
        return sent;
      }
    }
    return absl::OkStatus();
  }

  // The same while that doesn't block.
  absl::Status SendHeldWhileWritable()
  {
    while (!mHeld.IsEmpty() && IsWritable(mStream.socket())) {
      if (absl::Status sent = SendFirstHeld(); !sent.ok()) {
        return sent;
      }
    }
    return absl::OkStatus();
  }

  absl::Status SendFirstHeld()
  {
    const std::size_t bytes = mHeld.First().size();
    absl::Status sent = Write(mHeld.First());
    mHeld.RemoveFirst();
    if (mShare) {
      mShare->Return(bytes);
    }
    return sent;
  }

  // Whether the caller reads too slowly for the next part to be sent. It may
  // then pause for as long as its connection may be idle.
  bool IsSlow()
  {
    if (mWrittenBytes < kUncheckedBytes || IsWritable(mStream.socket())) {
      return false;
    }
    if (!std::exchange(mMayPause, true)) {
      AllowReadPause(mStream.socket(),
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                       kCallerIoTimeout));
    }
    return true;
  }

  // Sends a part of the body; an empty one ends it.
  absl::Status Write(std::span<const char> aBytes)
  {
    if (!mSerializer) {
      mKeepAlive = mGate.BeginResponse();
      mAnswer.keep_alive(mKeepAlive);
      mSerializer.emplace(mAnswer);
    }
    // Beast takes a non-const pointer, but only reads from it.
    mAnswer.body().data = const_cast<char*>(aBytes.data());
    mAnswer.body().size = aBytes.size();
    mAnswer.body().more = !aBytes.empty();
    mWrittenBytes += aBytes.size();
    ExpireAt(mStream, std::min(boot_clock::now() + kCallerIoTimeout, mReadBy));
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, *mSerializer, std::move(aHandler));
    });
    if (written.mError == http::error::need_buffer) {
      written.mError = {};
    }
    return ToStatus(written);
  }

  static absl::Status ToStatus(const io_result& aResult)
  {
    if (!aResult.mError) {
      return absl::OkStatus();
    }
    return MakeError(absl::StatusCode::kUnavailable,
                     "answer",
                     "caller",
                     aResult.mError.message());
  }

  tcp_stream& mStream;
  response_gate& mGate;
  bool mIsHead;
  bool mExpectsContinue;
  bool mKeepAlive = false;
  // Of a response; the kernel takes as much without a check.
  static constexpr std::size_t kUncheckedBytes = kChunkSize;

  held_body mHeld; // until the turn, or until the caller reads
  std::optional<byte_budget::share> mShare;
  instant mReadBy = instant::max(); // while the server has more of the body
  std::size_t mWrittenBytes = 0;
  bool mMayPause = false;
  bool mIsWaitLogged = false;
  http::response<http::buffer_body> mAnswer;
  std::optional<http::response_serializer<http::buffer_body>> mSerializer;
};

} // namespace plantaindale
