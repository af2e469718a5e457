// peer_server receives the requests that other nodes forward to this one, runs
// them by the local_executor and sends their responses back.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/request/local_executor.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale {

// Runs on the traffic thread; must outlive the fibers of its connections.
class peer_server
{
public:
  peer_server(boost::asio::io_context& aContext, local_executor& aExecutor);

  absl::Status Listen(std::string_view aAddress);

private:
  void AcceptLoop();
  void ServeConnection(tcp_socket aSocket);
  // Returns whether the connection may be used for another request.
  bool ServeRequest(frame_stream& aFrames, const protocol::request_head& aHead);

  // Runs a request with a large body once the transfer limiter admits it.
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
