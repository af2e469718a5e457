// caller_server is the HTTP/1.1 server for callers. It accepts connections,
// each of which a caller_connection serves: it reads a request's head, resolves
// its route and key, and runs it by the request_router. A request without a
// response from a backend server gets a problem document and an outcome header
// field.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "plantaindale/request/caller_connection.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale {

// Runs on the traffic thread; must outlive the fibers of its connections.
class caller_server
{
public:
  caller_server(boost::asio::io_context& aContext,
                const routing_state& aRoutingState,
                request_router& aRouter,
                request_metrics& aMetrics,
                const http_header_names& aHeaderNames,
                std::string aLocalService);

  // Commands.
  absl::Status Listen(std::string_view aAddress);
  void StopAccepting();
  // The process shuts down at `aEndBy`. From `aRefuseFrom` on, a request with a
  // later deadline is refused as not run and its connection is closed.
  void EndBy(instant aRefuseFrom, instant aEndBy);

  // Queries. Requests that are running at the router.
  int Running() const { return mServices.mRunning; }
  const byte_budget& SlowReaders() const { return mServices.mSlowReaders; }

private:
  void AcceptLoop();
  // Accepts all connections that wait. Returns false on an error.
  bool AcceptAll();

  boost::asio::io_context& mContext;
  caller_services mServices;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace plantaindale
