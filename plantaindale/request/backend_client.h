// backend_client is the HTTP client for the local backend server. It streams
// bodies in both directions, reuses connections, and reports for each failure
// whether the server may have started to run the request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/refused_attempts.h"
#include "plantaindale/request/request_result.h"
#include "plantaindale/request/routing_snapshot.h"
#include "plantaindale/request/server_report.h"

namespace plantaindale {

// The authority under which a request runs at the backend server.
struct backend_grant
{
  std::string mShard;      // empty for a service without keys
  std::int64_t mEpoch = 0; // of the owner's entry in the shard map
  instant mRunUntil{};     // the server must not run the request any longer
  // The instance name that the server announced; empty: none.
  std::string mInstance;
  // Incarnation of the node that owns the shard; 0 for a service without keys.
  std::int64_t mIncarnation = 0;
  // Whether to stop forwarding once the incarnation's lease has expired. Not
  // needed for a server that tracks grants: it ends requests that outlast their
  // grant by itself, so its responses stay valid.
  bool mNeedsLease = false;
};

// Single-threaded; calls block the calling fiber.
class backend_client
{
public:
  // Called with what the server says of itself in each of its responses. Must
  // not block.
  using on_report = std::function<void(const server_report&)>;
  // Called right before the first byte of a request is sent. A result ends the
  // request unsent. Must not block.
  using before_send = std::function<std::optional<request_result>()>;

  backend_client(boost::asio::io_context& aContext,
                 const routing_state& aRoutingState,
                 const http_header_names& aHeaderNames,
                 on_report aOnReport);

  // Commands.
  // No request is sent to the server at or after `aServesUntil`; one that would
  // be fails as not run, with kHandOverStep.
  void SetServer(const announced_server& aServer, instant aServesUntil);
  // Runs the request and forwards its response to `aSink`.
  request_result Run(const protocol::request_head& aHead,
                     const backend_grant& aGrant,
                     instant aDeadline,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation,
                     const before_send& aBeforeSend = nullptr);

  // Queries.
  const announced_server& Server() const { return mServer; }
  bool IsServing() const { return boot_clock::now() < mServesUntil; }
  std::int64_t ConnectionsMade() const { return mConnectionsMade; }

private:
  class exchange;

  struct server_connection
  {
    std::unique_ptr<tcp_stream> mStream; // null: not connected
    std::string mAddress;
    refused_attempts mRefused;
    std::int64_t mNumber = 0; // among those of this client
    int mRequests = 0;        // that were run over it
  };
  struct idle_connection
  {
    server_connection mConnection;
    instant mUsableUntil; // the server may close it later
  };

  // Returns an idle connection on which the attempt was not refused, or one
  // that is not connected.
  server_connection TakeIdle(const std::string& aAttemptId);
  // Closes a connection to another address than the server's present one.
  void KeepIdle(server_connection aConnection, duration aIdleTimeout);

  boost::asio::io_context& mContext;
  const routing_state& mRoutingState;
  announced_server mServer;
  instant mServesUntil = instant::max();
  const http_header_names& mHeaderNames;
  on_report mOnReport;
  std::vector<idle_connection> mIdle;
  std::int64_t mConnectionsMade = 0;
};

} // namespace plantaindale
