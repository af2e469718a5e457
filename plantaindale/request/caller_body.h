// caller_body reads the body of a caller's HTTP request from its connection.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/request/exchange.h"
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace plantaindale {

namespace http = boost::beast::http;

// A connection on which a caller neither sends nor reads for this long is
// closed.
inline constexpr duration kCallerIoTimeout = std::chrono::seconds(30);

// A close within this time after a request was read is taken for that of the
// sending half only: the caller waits for the response.
inline constexpr duration kHalfCloseWindow = std::chrono::milliseconds(50);

using caller_parser = http::request_parser<http::buffer_body>;

// Used only by the fiber of its connection.
class caller_body : public body_source
{
public:
  caller_body(tcp_stream& aStream, http_input& aInput, caller_parser& aParser)
    : mStream(aStream)
    , mInput(aInput)
    , mParser(aParser)
  {
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    return Read(aBuffer, boot_clock::now() + kCallerIoTimeout);
  }

  // From now on cancels when the caller closes the connection, unless it did so
  // before or within kHalfCloseWindow: then it has closed its sending half and
  // may still wait for the response. A close behind a body that is being read
  // counts as one before.
  void CancelOnHangup(cancellation& aCancellation, std::string aAttempt)
  {
    mAttempt = std::move(aAttempt);
    mCancellation = &aCancellation;
    Watch();
  }
  void StopWatching()
  {
    mCancellation = nullptr;
    mInputSeenAt = InputSeenAt();
    mWatch.reset();
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer, instant aDeadline)
  {
    if (!mParser.is_done()) {
      mWatch.reset();
    }
    auto got = ReadSome(aBuffer, aDeadline);
    if (got.ok() && mParser.is_done() && !mWatch && mCancellation != nullptr) {
      Watch();
    }
    return got;
  }

  // Whether the caller has sent what is no body.
  bool IsMalformed() const { return IsMalformedInput(mError); }
  bool IsTooLong() const { return mError == http::error::body_limit; }
  bool IsComplete() const { return mParser.is_done(); }
  // When input behind the body was first seen; instant::max() if none was.
  instant InputSeenAt() const
  {
    return mWatch ? mWatch->InputSeenAt() : mInputSeenAt;
  }

private:
  absl::StatusOr<std::size_t> ReadSome(std::span<char> aBuffer,
                                       instant aDeadline)
  {
    while (!mParser.is_done()) {
      mParser.get().body().data = aBuffer.data();
      mParser.get().body().size = aBuffer.size();
      ExpireAt(mStream, aDeadline);
      const io_result read = mInput.ReadSome(mStream, mParser);
      if (read.mError && read.mError != http::error::need_buffer) {
        mError = read.mError;
        return MakeError(absl::StatusCode::kDataLoss,
                         "receive_body",
                         "caller",
                         read.mError.message());
      }
      const std::size_t got = aBuffer.size() - mParser.get().body().size;
      if (got > 0) {
        return got;
      }
    }
    return 0;
  }

  void Watch()
  {
    if (HasBeenClosed(mStream.socket())) {
      LogCallerClose(true, boot_clock::now());
      return;
    }
    const instant read_at = boot_clock::now();
    mWatch.emplace(
      mStream.socket(),
      [this, read_at](instant aClosedAfter) {
        const bool is_half_closed = aClosedAfter < read_at + kHalfCloseWindow;
        LogCallerClose(is_half_closed, read_at);
        if (!is_half_closed) {
          mCancellation->Cancel();
        }
      },
      mParser.is_done() ? hangup_watch::mode::kExclusive
                        : hangup_watch::mode::kShared);
  }

  // Logs one line per close behind a body.
  void LogCallerClose(bool aIsHalfClosed, instant aReadAt) const
  {
    log_event("caller_closed")
      .With("request", mAttempt)
      .With("taken_for", aIsHalfClosed ? "half_closed" : "left")
      .With("body", mParser.is_done() ? "read" : "unread")
      .With("read_us", (boot_clock::now() - aReadAt).count());
  }

  tcp_stream& mStream;
  http_input& mInput;
  caller_parser& mParser;
  boost::system::error_code mError; // of the read that failed
  cancellation* mCancellation = nullptr;
  std::string mAttempt; // for logs
  std::optional<hangup_watch> mWatch;
  instant mInputSeenAt = instant::max();
};

} // namespace plantaindale
