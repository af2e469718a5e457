// peer_server takes the requests that other nodes hand to this one, runs them
// by the local_executor and sends the answers back.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/request/local_executor.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale {

// Belongs to the traffic thread, and must outlive its connections' fibers.
class peer_server
{
public:
  peer_server(boost::asio::io_context& aContext, local_executor& aExecutor);

  absl::Status Listen(std::string_view aAddress);

private:
  void AcceptLoop();
  void ServeConnection(tcp_socket aSocket);
  // Whether the connection may carry another request.
  bool ServeRequest(frame_stream& aFrames, const protocol::request_head& aHead);

  // Runs a request with a large body once its transfer has its turn.
  request_result RunThrottled(const protocol::request_head& aHead,
                              instant aDeadline,
                              body_source& aBody,
                              response_sink& aSink,
                              cancellation& aCancellation);

  boost::asio::io_context& mContext;
  local_executor& mExecutor;
  server_limiter mTransferLimiter;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace plantaindale
