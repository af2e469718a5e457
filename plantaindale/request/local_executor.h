// local_executor runs requests at the node that owns their key: it checks the
// grant, waits for a slot, hands the request to the backend server and keeps
// count of what runs for each shard.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "plantaindale/limits/server_limiter.h"
#include "plantaindale/node/events.h"
#include "plantaindale/request/backend_client.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/idempotency_window.h"
#include "plantaindale/request/request_result.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// Belongs to the traffic thread; Run waits on the calling fiber.
class local_executor
{
public:
  // `aOnNoServer` is called when nothing listens at the server's address; it
  // must not wait.
  local_executor(boost::asio::io_context& aContext,
                 const routing_state& aRoutingState,
                 const http_header_names& aHeaderNames,
                 std::function<void()> aOnNoServer);

  // Commands.
  // The server beside the node, if there is one. After `aServesUntil` it gets
  // no more requests.
  void SetServer(const std::optional<announced_server>& aServer,
                 instant aServesUntil);
  // The process ends at `aEndBy`: requests that may take longer are refused.
  void EndBy(instant aEndBy) { mEndBy = aEndBy; }
  request_result Run(const protocol::request_head& aHead,
                     instant aDeadline,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);
  // Lets no new request of the shard begin; `aOnQuiet` is called once none
  // runs, on this thread.
  void Close(const shard_id& aShard, std::function<void()> aOnDrained);
  // Ends what runs under a lease that has lapsed; called often.
  void CancelUnleased();
  // What ran since the last call, per shard.
  traffic_report TakeReport();

  // Queries.
  const server_limiter& Limiter() const { return mLimiter; }
  const idempotency_window& Window() const { return mWindow; }
  int Outstanding() const { return mOutstanding; }

private:
  struct shard_activity
  {
    int mRunning = 0;
    double mBusySeconds =
      0; // seconds of slots used or wanted since the last report
    std::int64_t mEpoch = 0;
    std::chrono::system_clock::time_point mOwnedSince{};
    std::function<void()> mOnDrained;
  };
  class running_request;

  // Whether a server of the service is here and takes requests.
  absl::Status CheckServer(const protocol::request_head& aHead,
                           instant aDeadline) const;
  // The grant under which the request may run; an error says why it mayn't,
  // kUnavailable while the shard is being handed over.
  absl::StatusOr<backend_grant> CheckGrant(const protocol::request_head& aHead,
                                           instant aDeadline) const;
  void CountDemand(const protocol::request_head& aHead,
                   bool aWasAdmitted,
                   duration aWaited);
  // The request has its turn at the backend server.
  request_result RunAdmitted(const protocol::request_head& aHead,
                             instant aDeadline,
                             body_source& aBody,
                             response_sink& aSink,
                             cancellation& aCancellation);
  request_result RunOnce(const protocol::request_head& aHead,
                         const backend_grant& aGrant,
                         instant aDeadline,
                         body_source& aBody,
                         response_sink& aSink,
                         cancellation& aCancellation);
  request_result RunWithKey(const protocol::request_head& aHead,
                            std::string_view aIdempotencyKey,
                            const backend_grant& aGrant,
                            instant aDeadline,
                            body_source& aBody,
                            response_sink& aSink,
                            cancellation& aCancellation);
  request_result Replay(const recorded_outcome& aRecorded,
                        std::int64_t aRequestId,
                        response_sink& aSink) const;

  const routing_state& mRoutingState;
  backend_client mClient;
  server_limiter mLimiter;
  idempotency_window mWindow;
  std::map<shard_id, shard_activity> mShards;
  // Running requests that need the lease, and the incarnation they run under.
  std::map<cancellation*, std::int64_t> mLeased;
  bool mHasServer = false;
  instant mServesUntil = instant::max();
  instant mEndBy = instant::max();
  std::function<void()> mOnNoServer;
  int mOutstanding = 0;
  instant mReportedAt;
};

// Methods whose repetition does no harm, by RFC 9110.
bool
IsIdempotent(std::string_view aMethod, const service_configuration& aService);

} // namespace plantaindale
