#include "plantaindale/net/http_call.h"

#include <thread>

#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kLargestAnswer = 64 * 1024 * 1024; // bytes

} // namespace

absl::StatusOr<http_answer>
HttpCall(boost::asio::io_context& aContext, const http_request& aRequest)
{
  auto endpoint = ParseEndpoint(aRequest.mPeer);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  tcp_stream stream(aContext);
  stream.expires_after(aRequest.mTimeout);
  io_result connected = AwaitIo([&](auto aHandler) {
    stream.async_connect(*endpoint, std::move(aHandler));
  });
  if (connected.mError) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "connect",
                     aRequest.mPeer,
                     connected.mError.message());
  }
  http::request<http::string_body> request;
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.set(http::field::host, aRequest.mPeer);
  request.set(http::field::connection, "close");
  request.body() = aRequest.mBody;
  request.prepare_payload();
  io_result written = AwaitIo([&](auto aHandler) {
    http::async_write(stream, request, std::move(aHandler));
  });
  if (written.mError) {
    return MakeError(absl::StatusCode::kUnknown,
                     "send",
                     aRequest.mPeer,
                     written.mError.message());
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kLargestAnswer);
  io_result read = AwaitIo([&](auto aHandler) {
    http::async_read(stream, buffer, parser, std::move(aHandler));
  });
  if (read.mError) {
    return MakeError(absl::StatusCode::kUnknown,
                     "receive",
                     aRequest.mPeer,
                     read.mError.message());
  }
  http_answer answer;
  answer.mStatus = parser.get().result_int();
  answer.mBody = std::move(parser.get().body());
  return answer;
}

absl::StatusOr<http_answer>
HttpCallBlocking(const http_request& aRequest)
{
  absl::StatusOr<http_answer> answer = absl::UnknownError("not run");
  // It outlives the thread, whose fiber scheduler refers to it to the end.
  boost::asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    answer = HttpCall(context, aRequest);
  }).join();
  return answer;
}

} // namespace plantaindale
