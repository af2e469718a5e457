#include "plantaindale/net/http_input.h"

#include <algorithm>

#include "plantaindale/base/log_event.h"
#include "plantaindale/net/endpoint.h"
#include <boost/beast/http.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 4096;
// Parts of a message in the log.
constexpr const char* kHeadPart = "head";
constexpr const char* kChunkFramingPart = "chunk_framing";

bool
IsLimitError(const boost::system::error_code& aError)
{
  return aError == http::error::header_limit ||
         aError == http::error::buffer_overflow;
}

} // namespace

bool
IsMalformedInput(const boost::system::error_code& aError)
{
  return aError.category() ==
           http::make_error_code(http::error::bad_chunk).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message &&
         aError != http::error::need_buffer;
}

http_input::http_input(std::size_t aMaxHeadBytes)
  : mMaxHeadBytes(aMaxHeadBytes)
{
  mBuffer.reserve(kReadBytes);
}

template<class initiate_type>
io_result
http_input::Read(const tcp_stream& aStream,
                 const char* aPart,
                 initiate_type&& aInitiate)
{
  const io_result read = AwaitIo(aInitiate);
  LogLimit(aStream, aPart, read.mError);
  return read;
}

template<bool is_request>
io_result
http_input::ReadHead(tcp_stream& aStream,
                     http::basic_parser<is_request>& aParser)
{
  BeginHead(aParser);
  const io_result read = Read(aStream, kHeadPart, [&](auto aHandler) {
    http::async_read_header(aStream, mBuffer, aParser, std::move(aHandler));
  });
  return { read.mError };
}

template<bool is_request>
io_result
http_input::ReadSome(tcp_stream& aStream,
                     http::basic_parser<is_request>& aParser)
{
  LimitTo(kMaxChunkFramingBytes);
  return Read(aStream, kChunkFramingPart, [&](auto aHandler) {
    http::async_read_some(aStream, mBuffer, aParser, std::move(aHandler));
  });
}

template<bool is_request>
io_result
http_input::ReadAll(tcp_stream& aStream,
                    http::basic_parser<is_request>& aParser)
{
  if (aParser.is_done()) {
    return {};
  }
  LimitTo(kMaxChunkFramingBytes);
  return Read(aStream, kChunkFramingPart, [&](auto aHandler) {
    http::async_read(aStream, mBuffer, aParser, std::move(aHandler));
  });
}

template<bool is_request>
boost::system::error_code
http_input::ParseHead(const tcp_stream& aStream,
                      http::basic_parser<is_request>& aParser)
{
  BeginHead(aParser);
  boost::system::error_code error;
  mBuffer.consume(aParser.put(mBuffer.data(), error));
  if (aParser.is_header_done()) {
    return {};
  }
  LogLimit(aStream, kHeadPart, error);
  return error ? error : http::make_error_code(http::error::need_more);
}

boost::asio::mutable_buffer
http_input::PrepareHead()
{
  LimitTo(mMaxHeadBytes);
  return mBuffer.prepare(
    std::min(kReadBytes, mBuffer.max_size() - mBuffer.size()));
}

// The parser consumes whatever is complete, so what stays in the buffer when it
// needs more is the part that is limited.
void
http_input::LimitTo(std::size_t aBytes)
{
  mBuffer.max_size(std::max(aBytes, mBuffer.size()));
}

template<bool is_request>
void
http_input::BeginHead(http::basic_parser<is_request>& aParser)
{
  LimitTo(mMaxHeadBytes);
  aParser.header_limit(static_cast<std::uint32_t>(mMaxHeadBytes));
}

void
http_input::LogLimit(const tcp_stream& aStream,
                     const char* aPart,
                     const boost::system::error_code& aError) const
{
  if (!IsLimitError(aError)) {
    return;
  }
  boost::system::error_code ignored;
  log_event("input_limit_exceeded", log_level::kWarning)
    .With("peer", ToText(aStream.socket().remote_endpoint(ignored)))
    .With("part", aPart)
    .With("limit_bytes", mBuffer.max_size())
    .With("seen_bytes", mBuffer.size());
}

boost::system::error_code
http_input::StatusError()
{
  return http::make_error_code(http::error::bad_status);
}

template io_result
http_input::ReadHead(tcp_stream&, http::basic_parser<true>&);
template io_result
http_input::ReadHead(tcp_stream&, http::basic_parser<false>&);
template io_result
http_input::ReadSome(tcp_stream&, http::basic_parser<true>&);
template io_result
http_input::ReadSome(tcp_stream&, http::basic_parser<false>&);
template io_result
http_input::ReadAll(tcp_stream&, http::basic_parser<true>&);
template io_result
http_input::ReadAll(tcp_stream&, http::basic_parser<false>&);
template boost::system::error_code
http_input::ParseHead(const tcp_stream&, http::basic_parser<true>&);

} // namespace plantaindale
