// backend_client speaks HTTP to the one backend server beside the node. It
// streams bodies both ways, keeps connections for the next request, and says
// for each failure whether the server may have begun to run the request.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_result.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// What the backend server is told besides the caller's request.
struct backend_grant
{
  std::string mShard;      // empty for a service without keys
  std::int64_t mEpoch = 0; // of the owner's entry in the shard map
  instant mRunUntil{};     // the request may not run any longer
  // The name that the server gave itself; empty: none.
  std::string mInstance;
  // The incarnation under which the request runs; 0: a service without keys
  // needs none.
  std::int64_t mIncarnation = 0;
  // Nothing passes once the incarnation's lease has lapsed. A server that keeps
  // grants ends by itself what outlasts them, and its answer is still true.
  bool mNeedsLease = false;
};

// Belongs to one thread; calls wait on the calling fiber.
class backend_client
{
public:
  backend_client(boost::asio::io_context& aContext,
                 const routing_state& aRoutingState,
                 const http_header_names& aHeaderNames);

  // Commands.
  void SetServer(const announced_server& aServer);
  // Runs the request and passes its answer to `aSink`.
  request_result Run(const protocol::request_head& aHead,
                     const backend_grant& aGrant,
                     instant aDeadline,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);

  // Queries.
  const announced_server& Server() const { return mServer; }
  std::int64_t ConnectionsMade() const { return mConnectionsMade; }

private:
  class exchange;

  struct idle_connection
  {
    std::unique_ptr<tcp_stream> mStream;
    instant mUsableUntil; // the server may close it after this
  };

  std::unique_ptr<tcp_stream> TakeIdle();
  void KeepIdle(std::unique_ptr<tcp_stream> aStream, duration aIdleTimeout);

  boost::asio::io_context& mContext;
  const routing_state& mRoutingState;
  announced_server mServer;
  const http_header_names& mHeaderNames;
  std::vector<idle_connection> mIdle;
  std::int64_t mConnectionsMade = 0;
};

} // namespace plantaindale
