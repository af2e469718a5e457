// http_input reads HTTP/1.1 messages from one connection. It bounds what a peer
// may send besides bodies: heads, the lines of chunks, and trailers. A peer
// that sends any of these without end can't make this process keep more than
// that.
//
//   http_input input;
//   http::response_parser<http::buffer_body> parser;
//   io_result read = input.ReadHead(stream, parser);
//   while (!read.mError && !parser.is_done()) {
//     ... set the buffer of the body ...
//     read = input.ReadSome(stream, parser);
//   }
//
// The bound of a body is the parser's (body_limit) or its reader's.
#pragma once

#include <cstddef>
#include <optional>

#include "plantaindale/net/await_io.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/beast/core/flat_buffer.hpp>

namespace boost::beast::http {
template<bool is_request>
class basic_parser;
}

namespace plantaindale {

// Default limit of a head.
inline constexpr std::size_t kMaxHeadBytes = 64 * 1024;
// Limit of the line of a chunk, with its extensions, and of a trailer.
inline constexpr std::size_t kMaxChunkFramingBytes = 16 * 1024;
// Interim responses (1xx) that are skipped before the final one.
inline constexpr int kMaxInterimResponses = 16;

// Whether a response with the status ends its request.
constexpr bool
IsFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

// Whether the peer has sent what is no HTTP message, or has exceeded a limit,
// as opposed to a timeout or the end of the connection.
bool
IsMalformedInput(const boost::system::error_code& aError);

// Belongs to one thread; reads block the calling fiber and use the timeout of
// the stream. Logs one line when a limit is exceeded.
class http_input
{
public:
  explicit http_input(std::size_t aMaxHeadBytes = kMaxHeadBytes);

  // Commands.
  // Applies to the next head.
  void SetMaxHeadBytes(std::size_t aBytes) { mMaxHeadBytes = aBytes; }
  // Reads a head; the result counts no bytes. Afterwards the parser is done if
  // the message has no body.
  template<bool is_request>
  io_result ReadHead(tcp_stream& aStream,
                     boost::beast::http::basic_parser<is_request>& aParser);
  // The same for the head of the final response, whose status is always one
  // that IsFinalStatus(). `aReset` must put a new parser into `aParser` each
  // time it is called.
  template<class parser_type, class reset_type>
  io_result ReadFinalHead(tcp_stream& aStream,
                          std::optional<parser_type>& aParser,
                          const reset_type& aReset);
  // Reads a part of the body: until some bytes of it have come.
  template<bool is_request>
  io_result ReadSome(tcp_stream& aStream,
                     boost::beast::http::basic_parser<is_request>& aParser);
  // Reads until the message is complete, or the parser's body is full.
  template<bool is_request>
  io_result ReadAll(tcp_stream& aStream,
                    boost::beast::http::basic_parser<is_request>& aParser);

  // For owners that wait for input by themselves.
  // Parses what has been read of a head. need_more: it is incomplete.
  template<bool is_request>
  boost::system::error_code ParseHead(
    const tcp_stream& aStream,
    boost::beast::http::basic_parser<is_request>& aParser);
  // Space for more bytes of a head; empty if the limit is reached.
  boost::asio::mutable_buffer PrepareHead();
  void Commit(std::size_t aBytes) { mBuffer.commit(aBytes); }
  void Clear() { mBuffer.clear(); }

  // Queries.
  // Whether bytes were read that no parser has taken.
  bool HasBytes() const { return mBuffer.size() > 0; }

private:
  // Awaits the read and logs if it ended at a limit.
  template<class initiate_type>
  io_result Read(const tcp_stream& aStream,
                 const char* aPart,
                 initiate_type&& aInitiate);
  void LimitTo(std::size_t aBytes);
  template<bool is_request>
  void BeginHead(boost::beast::http::basic_parser<is_request>& aParser);
  void LogLimit(const tcp_stream& aStream,
                const char* aPart,
                const boost::system::error_code& aError) const;
  static boost::system::error_code StatusError();

  std::size_t mMaxHeadBytes;
  boost::beast::flat_buffer mBuffer;
};

template<class parser_type, class reset_type>
io_result
http_input::ReadFinalHead(tcp_stream& aStream,
                          std::optional<parser_type>& aParser,
                          const reset_type& aReset)
{
  constexpr unsigned kSwitchingProtocols = 101;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    aReset();
    const io_result read = ReadHead(aStream, *aParser);
    if (read.mError) {
      return read;
    }
    const unsigned status = aParser->get().result_int();
    if (IsFinalStatus(static_cast<int>(status))) {
      return read;
    }
    const bool is_interim =
      status >= 100 && status < 200 && status != kSwitchingProtocols;
    if (!is_interim) {
      break;
    }
  }
  return { StatusError() };
}

} // namespace plantaindale
