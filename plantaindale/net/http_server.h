// small_http_server answers small HTTP requests, bodies held whole: for
// operators, for the backend server beside the node, and in the stand-ins.
//
//   small_http_server server(io, Handle);
//   absl::Status status = server.Listen("127.0.0.1:7000");
//
// `Handle` runs on a fiber of its own for each connection and may wait.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale {

struct http_server_request
{
  std::string mMethod;
  std::string mTarget; // path and query
  std::string mBody;

  // The target without its query.
  std::string_view Path() const;
  // The value of a query parameter, empty when absent; not percent-decoded.
  std::string_view Query(std::string_view aName) const;
};

// An answer of status 0 means: close the connection without an answer.
using http_handler = std::function<http_response(const http_server_request&)>;

class http_server
{
public:
  // The handler is called on fibers of `aContext`'s thread.
  http_server(boost::asio::io_context& aContext, http_handler aHandler);

  // Binds and starts accepting. Errors name the address.
  absl::Status Listen(std::string_view aAddress);

private:
  void AcceptLoop();
  void ServeConnection(tcp_socket aSocket);

  boost::asio::io_context& mContext;
  http_handler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

// Binds a listening TCP socket. Errors name the address.
absl::Status
BindListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             std::string_view aAddress);

} // namespace plantaindale
