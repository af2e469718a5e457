// caller_server speaks HTTP/1.1 with callers: it reads a request's head, has it
// described by the configuration, and lets the request_router run it.
// How a request without an answer ended is told in words and in a field.
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

// Belongs to the traffic thread, and must outlive its connections' fibers.
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
  // The process ends at `aEndBy`: from `aRefuseFrom` on, a request that may
  // take longer is refused as not run, and every connection is let go.
  void EndBy(instant aRefuseFrom, instant aEndBy);

  // Queries. Requests that have been read and not yet answered.
  int Running() const { return mRunning; }

private:
  class connection;

  bool MayShutDownBefore(instant aDeadline) const;
  void AcceptLoop();

  boost::asio::io_context& mContext;
  const routing_state& mRoutingState;
  request_router& mRouter;
  request_metrics& mMetrics;
  const http_header_names& mHeaderNames;
  request_resolver mResolver;
  boost::asio::ip::tcp::acceptor mAcceptor;
  int mRunning = 0;
  instant mRefuseFrom = instant::max();
  instant mEndBy = instant::max();
};

} // namespace plantaindale
