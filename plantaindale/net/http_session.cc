#include "plantaindale/net/http_session.h"

#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_options.h"
#include <boost/beast/http.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

http::request<http::string_body>
MakeRequest(const http_request& aRequest)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.set(http::field::host, aRequest.mPeer);
  request.keep_alive(aRequest.mKeepAlive);
  if (!aRequest.mBody.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

http_response
ToResponse(http::response<http::string_body>&& aResponse)
{
  http_response result;
  result.mStatus = aResponse.result_int();
  for (const auto& field : aResponse) {
    result.mFields.emplace_back(field.name_string(), field.value());
  }
  result.mBody = std::move(aResponse.body());
  return result;
}

http_session::connect_result
Connect(tcp_stream& aStream,
        const std::string& aPeer,
        std::chrono::milliseconds aTimeout)
{
  auto endpoint = ParseEndpoint(aPeer);
  if (!endpoint.ok()) {
    return { endpoint.status() };
  }
  aStream.expires_after(aTimeout);
  io_result connected = AwaitIo([&](auto aHandler) {
    aStream.async_connect(*endpoint, std::move(aHandler));
  });
  if (connected.mError) {
    return { MakeError(absl::StatusCode::kUnavailable,
                       "connect",
                       aPeer,
                       connected.mError.message()),
             false,
             connected.mError == boost::asio::error::connection_refused };
  }
  SetRequestOptions(aStream.socket());
  return { absl::OkStatus(), true };
}

// Makes one call on a connected stream.
absl::StatusOr<http::response<http::string_body>>
Exchange(tcp_stream& aStream, const http_request& aRequest, bool& aCanReuse)
{
  aStream.expires_after(aRequest.mTimeout);
  const auto failed = [&](std::string_view aStep, const io_result& aResult) {
    return MakeError(absl::StatusCode::kUnknown,
                     aStep,
                     aRequest.mPeer,
                     aResult.mError.message());
  };
  http::request<http::string_body> request = MakeRequest(aRequest);
  io_result written = AwaitIo([&](auto aHandler) {
    http::async_write(aStream, request, std::move(aHandler));
  });
  if (written.mError) {
    return failed("send", written);
  }
  http_input input;
  std::optional<http::response_parser<http::string_body>> parser;
  io_result read = input.ReadFinalHead(aStream, parser, [&] {
    parser.emplace();
    parser->body_limit(aRequest.mMaxResponseBytes);
  });
  if (!read.mError) {
    read = input.ReadAll(aStream, *parser);
  }
  if (read.mError) {
    return failed("receive", read);
  }
  aCanReuse = aRequest.mKeepAlive && parser->keep_alive() && !input.HasBytes();
  return parser->release();
}

} // namespace

http_session::http_session(boost::asio::io_context& aContext)
  : mContext(aContext)
{
}

http_session::connect_result
http_session::EnsureConnected(const std::string& aPeer,
                              std::chrono::milliseconds aTimeout)
{
  const bool is_usable = mStream != nullptr && mPeer == aPeer &&
                         !HasInputOrHungUp(mStream->socket());
  if (is_usable) {
    return { absl::OkStatus() };
  }
  mStream.reset();
  auto stream = std::make_unique<tcp_stream>(mContext);
  mCalling = stream.get();
  connect_result connected = Connect(*stream, aPeer, aTimeout);
  mCalling = nullptr;
  if (connected.mStatus.ok()) {
    mStream = std::move(stream);
    mPeer = aPeer;
  }
  return connected;
}

absl::StatusOr<http_response>
http_session::CallOnConnection(const http_request& aRequest)
{
  if (mStream == nullptr || mPeer != aRequest.mPeer) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "send",
                     aRequest.mPeer,
                     "there is no connection");
  }
  std::unique_ptr<tcp_stream> stream = std::move(mStream);
  mCalling = stream.get();
  bool can_reuse = false;
  auto response = Exchange(*stream, aRequest, can_reuse);
  mCalling = nullptr;
  if (can_reuse) {
    mStream = std::move(stream);
  }
  if (!response.ok()) {
    return response.status();
  }
  return ToResponse(*std::move(response));
}

absl::StatusOr<http_response>
http_session::Call(const http_request& aRequest)
{
  const connect_result connected =
    EnsureConnected(aRequest.mPeer, aRequest.mTimeout);
  return connected.mStatus.ok() ? CallOnConnection(aRequest)
                                : connected.mStatus;
}

void
http_session::Cancel()
{
  if (mCalling != nullptr) {
    mCalling->cancel();
  }
}

} // namespace plantaindale
