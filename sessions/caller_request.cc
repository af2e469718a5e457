#include "sessions/caller_request.h"

#include <sys/socket.h>
#include <sys/time.h>

#include "plantaindale/net/endpoint.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/http_header_names.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace plantaindale::sessions {
namespace {

namespace http = boost::beast::http;

constexpr time_t kTimeoutSeconds = 5;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::string_view kCrashStep = "crashes_servers";

std::string
ToBytes(const std::string& aAddress, const call_request& aRequest)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.set(http::field::host, aAddress);
  request.set("X-Tag", aRequest.mTag);
  if (!aRequest.mIdempotencyKey.empty()) {
    request.set(http_header_names().mIdempotencyKey, aRequest.mIdempotencyKey);
  }
  request.body() = aRequest.mBody;
  request.keep_alive(false);
  request.prepare_payload();
  std::ostringstream bytes;
  bytes << request;
  return bytes.str();
}

} // namespace

bool
call_answer::IsRefusedAsCrashing() const
{
  return mStatus == 503 && mBody.find(kCrashStep) != std::string::npos;
}

call_answer
CallNode(const std::string& aAddress, const call_request& aRequest)
{
  const instant start = boot_clock::now();
  call_answer answer;
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*ParseEndpoint(aAddress), error);
  // Asio's own reads would wait beyond the timeout of the socket.
  const timeval timeout{ kTimeoutSeconds, 0 };
  setsockopt(
    socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const std::string bytes = ToBytes(aAddress, aRequest);
  const bool is_sent =
    !error &&
    send(socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(bytes.size());
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  std::string input;
  char buffer[kReadBytes];
  while (is_sent && !parser.is_done()) {
    const ssize_t got = recv(socket.native_handle(), buffer, sizeof(buffer), 0);
    if (got <= 0) {
      break;
    }
    input.append(buffer, static_cast<std::size_t>(got));
    input.erase(0, parser.put(boost::asio::buffer(input), error));
  }
  answer.mTook = boot_clock::now() - start;
  if (parser.is_done()) {
    answer.mStatus = parser.get().result_int();
    answer.mBody = parser.get().body();
    answer.mOutcome = parser.get()[http_header_names().mOutcome];
  }
  return answer;
}

} // namespace plantaindale::sessions
