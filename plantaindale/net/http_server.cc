#include "plantaindale/net/http_server.h"

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::uint64_t kMaxBodyBytes = 4 * 1024 * 1024; // bytes
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };

} // namespace

std::string_view
http_server_request::Path() const
{
  const std::string_view target = mTarget;
  return target.substr(0, target.find('?'));
}

std::string_view
http_server_request::Query(std::string_view aName) const
{
  std::string_view rest = mTarget;
  const std::size_t mark = rest.find('?');
  if (mark == rest.npos) {
    return {};
  }
  rest.remove_prefix(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName && equals != pair.npos) {
      return pair.substr(equals + 1);
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

absl::Status
BindListener(asio::ip::tcp::acceptor& aAcceptor, std::string_view aAddress)
{
  auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  boost::system::error_code error;
  aAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(
      absl::StatusCode::kUnavailable, "listen", aAddress, error.message());
  }
  return absl::OkStatus();
}

http_server::http_server(asio::io_context& aContext, http_handler aHandler)
  : mContext(aContext)
  , mHandler(std::move(aHandler))
  , mAcceptor(aContext)
{
}

absl::Status
http_server::Listen(std::string_view aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
  boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  return absl::OkStatus();
}

std::string
http_server::Address() const
{
  return ToText(mAcceptor.local_endpoint());
}

void
http_server::AcceptLoop()
{
  for (;;) {
    tcp_socket socket(mContext);
    io_result accepted = AwaitIo([&](auto aHandler) {
      mAcceptor.async_accept(socket, std::move(aHandler));
    });
    if (accepted.mError == asio::error::operation_aborted) {
      return;
    }
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      ServeConnection(std::move(socket));
    }).detach();
  }
}

// An error in the handler ends one request, not the process.
http_response
http_server::CallHandler(const http_server_request& aRequest)
{
  try {
    return mHandler(aRequest);
  } catch (const std::exception& error) {
    log_event("request_failed", log_level::kError)
      .With("method", aRequest.mMethod)
      .With("path", aRequest.Path())
      .With("reason", error.what());
    return { 500, "{\"error\":\"internal error\"}" };
  }
}

void
http_server::ServeConnection(tcp_socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  tcp_stream stream(std::move(aSocket));
  http_input input;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    stream.expires_after(kIdleTimeout);
    io_result read = input.ReadHead(stream, parser);
    if (!read.mError) {
      read = input.ReadAll(stream, parser);
    }
    if (read.mError) {
      return;
    }
    http_server_request request;
    request.mMethod = parser.get().method_string();
    request.mTarget = parser.get().target();
    request.mBody = std::move(parser.get().body());
    http_response result = CallHandler(request);
    if (result.mStatus == 0) {
      return;
    }
    http::response<http::string_body> response;
    response.result(static_cast<unsigned>(result.mStatus));
    response.keep_alive(parser.get().keep_alive());
    response.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : result.mFields) {
      response.set(name, value);
    }
    response.body() = std::move(result.mBody);
    response.prepare_payload();
    stream.expires_after(kIdleTimeout);
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(stream, response, std::move(aHandler));
    });
    if (written.mError || !response.keep_alive()) {
      return;
    }
  }
}

} // namespace plantaindale
