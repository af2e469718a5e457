// caller_body reads the body of a caller's HTTP request from its connection.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/base/error.h"
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

  // From now on calls `aOnHangup` when the caller has closed the connection.
  // A close behind a body is found when the body has been read.
  void NotifyOfHangup(std::function<void()> aOnHangup)
  {
    mOnHangup = std::move(aOnHangup);
    Watch();
  }
  void StopWatching()
  {
    mOnHangup = nullptr;
    mInputSeenAt = InputSeenAt();
    mWatch.reset();
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer, instant aDeadline)
  {
    if (!mParser.is_done()) {
      mWatch.reset();
    }
    auto got = ReadSome(aBuffer, aDeadline);
    if (got.ok() && mParser.is_done() && !mWatch && mOnHangup) {
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
    mWatch.emplace(mStream.socket(),
                   mOnHangup,
                   mParser.is_done() ? hangup_watch::mode::kExclusive
                                     : hangup_watch::mode::kShared);
  }

  tcp_stream& mStream;
  http_input& mInput;
  caller_parser& mParser;
  boost::system::error_code mError; // of the read that failed
  std::function<void()> mOnHangup;
  std::optional<hangup_watch> mWatch;
  instant mInputSeenAt = instant::max();
};

} // namespace plantaindale
