// caller_body is a caller's body as it comes in over its connection.
#pragma once

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/request/exchange.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace plantaindale {

namespace http = boost::beast::http;

// A caller that sends or takes nothing for so long is given up.
inline constexpr duration kCallerIoTimeout = std::chrono::seconds(30);

using caller_parser = http::request_parser<http::buffer_body>;

// Belongs to the fiber of its connection.
class caller_body : public body_source
{
public:
  caller_body(tcp_stream& aStream,
              boost::beast::flat_buffer& aBuffer,
              caller_parser& aParser)
    : mStream(aStream)
    , mBuffer(aBuffer)
    , mParser(aParser)
  {
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    return Read(aBuffer, boot_clock::now() + kCallerIoTimeout);
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer, instant aDeadline)
  {
    while (!mParser.is_done()) {
      mParser.get().body().data = aBuffer.data();
      mParser.get().body().size = aBuffer.size();
      ExpireAt(mStream, aDeadline);
      io_result read = AwaitIo([&](auto aHandler) {
        http::async_read_some(mStream, mBuffer, mParser, std::move(aHandler));
      });
      if (read.mError && read.mError != http::error::need_buffer) {
        mHasFailed = true;
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

  bool HasFailed() const { return mHasFailed; }

private:
  tcp_stream& mStream;
  boost::beast::flat_buffer& mBuffer;
  caller_parser& mParser;
  bool mHasFailed = false;
};

} // namespace plantaindale
