#include "plantaindale/net/http_input.h"

#include <thread>

#include "plantaindale/net/endless_writer.h"
#include "plantaindale/net/fiber_scheduler.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct read_outcome
{
  boost::system::error_code mError;
  std::string mBody;
  unsigned mStatus = 0;
  std::size_t mWritten = 0; // of the filler, by the peer
};

// Reads one response of a peer that sends `aBytes` and, unless it is empty,
// `aFiller` without end.
read_outcome
ReadFrom(std::string_view aBytes, std::string_view aFiller = "")
{
  read_outcome outcome;
  asio::io_context server_context;
  asio::ip::tcp::acceptor acceptor(server_context,
                                   { asio::ip::address_v4::loopback(), 0 });
  std::thread server([&] {
    auto socket = acceptor.accept();
    asio::write(socket, asio::buffer(aBytes.data(), aBytes.size()));
    if (!aFiller.empty()) {
      outcome.mWritten = WriteUntilClosed(socket, aFiller);
    }
  });
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    tcp_stream stream(context);
    stream.expires_after(std::chrono::seconds(10));
    AwaitIo([&](auto aHandler) {
      stream.async_connect(acceptor.local_endpoint(), std::move(aHandler));
    });
    http_input input;
    std::optional<http::response_parser<http::string_body>> parser;
    io_result read = input.ReadFinalHead(stream, parser, [&] {
      parser.emplace();
      parser->body_limit(1024);
    });
    if (!read.mError) {
      read = input.ReadAll(stream, *parser);
    }
    outcome.mError = read.mError;
    outcome.mStatus = parser->get().result_int();
    outcome.mBody = parser->get().body();
  }).join();
  server.join();
  return outcome;
}

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

BOOST_AUTO_TEST_SUITE(http_inputs)

// Guards against a peer whose bytes without end are kept until memory ends.
BOOST_AUTO_TEST_CASE(end_bytes_without_end_at_their_limit)
{
  const struct
  {
    std::string mName;
    std::string mBytes;
    std::string mFiller;
  } endless[] = {
    { "a field of the head", "HTTP/1.1 200 OK\r\nX: ", "a" },
    { "fields of the head", "HTTP/1.1 200 OK\r\n", "X: a\r\n" },
    { "a status line", "HTTP/1.1 200 ", "a" },
    { "a chunk's extension", kChunkedHead + "5;", "a" },
    { "the digits of a chunk's size", kChunkedHead, "0" },
    { "a field of the trailer", kChunkedHead + "0\r\nX: ", "a" },
    { "fields of the trailer", kChunkedHead + "0\r\n", "X: a\r\n" },
    { "a body", "HTTP/1.1 200 OK\r\n\r\n", "a" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  for (const auto& input : endless) {
    const read_outcome outcome = ReadFrom(input.mBytes, input.mFiller);
    BOOST_CHECK_MESSAGE(IsMalformedInput(outcome.mError),
                        input.mName << ": " << outcome.mError.message());
    BOOST_CHECK_MESSAGE(outcome.mWritten < kMaxAcceptedBytes,
                        input.mName << ": " << outcome.mWritten);
  }
}

BOOST_AUTO_TEST_SUITE(within_the_limits)

BOOST_AUTO_TEST_CASE(read_extensions_and_trailers)
{
  const std::string extension(kMaxChunkFramingBytes - 100, 'e');
  const read_outcome outcome =
    ReadFrom(kChunkedHead + "2;" + extension +
             "\r\nok\r\n0\r\nX: " + extension + "\r\n\r\n");
  BOOST_CHECK(!outcome.mError);
  BOOST_CHECK_EQUAL(outcome.mBody, "ok");
}

BOOST_AUTO_TEST_CASE(read_a_large_head_with_the_body_behind_it)
{
  const read_outcome outcome =
    ReadFrom("HTTP/1.1 200 OK\r\nX: " + std::string(kMaxHeadBytes - 100, 'f') +
             "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  BOOST_CHECK(!outcome.mError);
  BOOST_CHECK_EQUAL(outcome.mBody, "ok");
}

BOOST_AUTO_TEST_CASE(skip_interim_responses)
{
  const read_outcome outcome =
    ReadFrom("HTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_CHECK(!outcome.mError);
  BOOST_CHECK_EQUAL(outcome.mStatus, 200);
  BOOST_CHECK_EQUAL(outcome.mBody, "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(refuse_a_switch_of_protocols)
{
  const read_outcome outcome =
    ReadFrom("HTTP/1.1 101 Switching Protocols\r\n\r\n");
  BOOST_CHECK(IsMalformedInput(outcome.mError));
}

// Guards against a status that is no status, but is passed on as an answer.
BOOST_AUTO_TEST_CASE(refuse_a_status_outside_of_100_to_599)
{
  for (const char* status : { "000", "001", "099", "600", "999", "2xx" }) {
    const read_outcome outcome =
      ReadFrom(std::string("HTTP/1.1 ") + status +
               " Odd\r\nContent-Length: 2\r\n\r\nok"
               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_CHECK_MESSAGE(IsMalformedInput(outcome.mError),
                        status << ": " << outcome.mStatus);
  }
}

BOOST_AUTO_TEST_CASE(tell_an_end_from_malformed_input)
{
  const read_outcome outcome = ReadFrom(kChunkedHead + "5\r\nok");
  BOOST_CHECK(outcome.mError);
  BOOST_CHECK(!IsMalformedInput(outcome.mError));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
