// caller_server is the HTTP/1.1 server for callers. It reads a request's head,
// resolves its route and key, and runs it by the request_router. A request
// without a response from a backend server gets a problem document and an
// outcome header field.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/observe/request_metrics.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_resolver.h"
#include "plantaindale/request/request_router.h"
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
  int Running() const { return mRunning; }

private:
  class connection;

  bool MayShutDownBefore(instant aDeadline) const;
  void AcceptLoop();
  // Accepts all connections that wait. Returns false on an error.
  bool AcceptAll();

  boost::asio::io_context& mContext;
  const routing_state& mRoutingState;
  request_router& mRouter;
  request_metrics& mMetrics;
  const http_header_names& mHeaderNames;
  request_resolver mResolver;
  boost::asio::ip::tcp::acceptor mAcceptor;
  instant mAcceptedUntil = kNever; // when no connection was waiting
  int mRunning = 0;
  instant mRefuseFrom = instant::max();
  instant mEndBy = instant::max();
};

} // namespace plantaindale
