// http_server serves HTTP requests with the bodies held in memory. It serves
// operators, the local backend server, and the stand-ins used in tests.
//
//   http_server server(io, Handle);
//   absl::Status status = server.Listen("127.0.0.1:7000");
//
// Each connection has a fiber of its own, on which `Handle` runs; it may block
// the fiber.
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

  // Returns the target without its query.
  std::string_view Path() const;
  // Returns the value of a query parameter without percent-decoding, or an
  // empty text if it is absent.
  std::string_view Query(std::string_view aName) const;
};

// A response with status 0 closes the connection without sending a response.
using http_handler = std::function<http_response(const http_server_request&)>;

class http_server
{
public:
  // `aHandler` is called on fibers of the thread that runs `aContext`.
  http_server(boost::asio::io_context& aContext, http_handler aHandler);

  // Binds to `aAddress` (IP:PORT) and starts to accept connections. Errors name
  // the address.
  absl::Status Listen(std::string_view aAddress);

  // The address to which it is bound: the port that was chosen for port 0.
  std::string Address() const;

private:
  void AcceptLoop();
  void ServeConnection(tcp_socket aSocket);
  http_response CallHandler(const http_server_request& aRequest);

  boost::asio::io_context& mContext;
  http_handler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

// Opens a listening TCP socket at `aAddress` (IP:PORT). Errors name the
// address.
absl::Status
BindListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             std::string_view aAddress);

} // namespace plantaindale
