// local_executor runs requests at the local backend server. It checks that this
// node owns the request's shard and holds a lease, waits for a free slot, and
// counts the requests and load of each shard.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "plantaindale/limits/room_tracker.h"
#include "plantaindale/limits/server_limiter.h"
#include "plantaindale/node/events.h"
#include "plantaindale/request/backend_client.h"
#include "plantaindale/request/call_control.h"
#include "plantaindale/request/crash_guard.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/idempotency_window.h"
#include "plantaindale/request/request_result.h"
#include "plantaindale/request/routing_snapshot.h"
#include "plantaindale/request/suspect_gate.h"

namespace plantaindale {

// Runs on the traffic thread; Run blocks the calling fiber.
class local_executor
{
public:
  // `aOnNoServer` is called when nothing listens at the server's address,
  // `aOnLeaving` with the instance of the server when a response says that it
  // leaves. Neither must block.
  local_executor(boost::asio::io_context& aContext,
                 const routing_state& aRoutingState,
                 const http_header_names& aHeaderNames,
                 std::function<void()> aOnNoServer,
                 std::function<void(std::string)> aOnLeaving,
                 crash_callbacks aOnCrashes = {});

  // Commands.
  // Sets the local backend server, if there is one. It gets no request at or
  // after `aServesUntil`; those that come too late are refused as not run.
  void SetServer(const std::optional<announced_server>& aServer,
                 instant aServesUntil);
  // See admission_queue.
  void SetQueuesLate(bool aQueuesLate) { mLimiter.SetQueuesLate(aQueuesLate); }
  // Until when the server counts as cold; see cold_pace. The cold pace of its
  // service then holds.
  void SetColdUntil(instant aColdUntil);
  // The process shuts down at `aEndBy`; requests with a later deadline are
  // refused.
  void EndBy(instant aEndBy) { mEndBy = aEndBy; }
  request_result Run(const protocol::request_head& aHead,
                     instant aDeadline,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);
  // Refuses new requests of the shard. Returns true if none is running;
  // otherwise calls `aOnDrained` on this thread once the last has ended.
  bool Close(const shard_id& aShard, std::function<void()> aOnDrained);
  // Cancels requests whose lease has expired; called periodically.
  void CancelUnleased();
  // Puts the pace in force that holds now; called periodically.
  void UpdatePace();
  // The calls that the local backend server makes.
  call_control& Calls() { return mCalls; }
  // Load per shard since the last call.
  traffic_report TakeReport();

  // Queries.
  const server_limiter& Limiter() const { return mLimiter; }
  const idempotency_window& Window() const { return mWindow; }
  const call_control& Calls() const { return mCalls; }
  int Outstanding() const { return mOutstanding; }
  // Requests a second that are started at the server at present; none: no
  // limit.
  std::optional<double> StartsPerSecond() const { return mLimiter.Rate(); }
  // The pace of the cold server; none if it is warm or needs none.
  std::optional<double> ColdPace() const;
  // Of the local backend server; unknown if it does not tell its load.
  server_room Room() const;
  double Capacity() const { return mRoom.Capacity(boot_clock::now()); }

private:
  struct shard_activity
  {
    int mRunning = 0;
    double mBusySeconds = 0; // slot time used or requested since last report
    std::int64_t mEpoch = 0;
    std::chrono::system_clock::time_point mOwnedSince{};
    std::function<void()> mOnDrained;
  };
  class running_request;

  void OnServerReport(const server_report& aReport);
  void OnServerLoad(const server_report& aReport);
  // Whether the local backend server runs the service and accepts requests.
  absl::Status CheckServer(const protocol::request_head& aHead,
                           instant aDeadline) const;
  // The grant under which the request may run. kUnavailable while the shard is
  // being handed over; any other error if this node may not run the request.
  absl::StatusOr<backend_grant> CheckGrant(const protocol::request_head& aHead,
                                           instant aDeadline) const;
  void CountDemand(const protocol::request_head& aHead,
                   bool aWasAdmitted,
                   duration aWaited);
  // Runs a request that this node may run, once it is its turn.
  request_result RunInTurn(const protocol::request_head& aHead,
                           instant aDeadline,
                           body_source& aBody,
                           response_sink& aSink,
                           cancellation& aCancellation);
  // Runs a request that holds a slot of the backend server.
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
  crash_guard mCrashGuard;
  suspect_gate mSuspectGate;
  std::string mIdempotencyKey; // name of the field; empty: none
  call_control mCalls;
  server_limiter mLimiter;
  room_tracker mRoom;
  bool mWasRoomKnown = false;
  idempotency_window mWindow;
  std::map<shard_id, shard_activity> mShards;
  // Running requests that need the lease, with the incarnation that holds it.
  std::map<cancellation*, std::int64_t> mLeased;
  bool mHasServer = false;
  std::optional<double> mReportedRate; // by the server's responses
  instant mColdUntil = instant::max();
  std::optional<double> mColdPace;    // in force
  std::optional<double> mAppliedRate; // the lower of both
  instant mEndBy = instant::max();
  std::function<void(std::string)> mOnLeaving;
  int mOutstanding = 0;
  instant mReportedAt;
};

// Whether the method is idempotent by RFC 9110, or a POST of a service whose
// POSTs are configured as idempotent.
bool
IsIdempotent(std::string_view aMethod, const service_configuration& aService);

} // namespace plantaindale
