// request_router routes a caller's request to the node that owns its key, or,
// for a service without keys, to a lightly loaded node. It retries a request
// that provably was not run, or that is idempotent, within the deadline and a
// retry budget.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/request/local_executor.h"
#include "plantaindale/request/peer_client.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

class try_history;

// A caller's request with the settings of its route.
struct routed_request
{
  protocol::request_head mHead;
  std::string mCaller; // service on whose node the request entered
  instant mDeadline;
  instant mTarget; // desired response time; mDeadline is the hard limit
  instant mCallerWaitsUntil; // at or after mDeadline
  bool mIsIdempotent = false;
  bool mIsKeyed = false;
  // The response may be large, and its caller may read it slowly.
  bool mHasLargeResponse = false;
  int mMostServers = 3; // limit of backend servers tried
};

// Runs on the traffic thread; calls block the calling fiber.
class request_router
{
public:
  request_router(const routing_state& aRoutingState,
                 local_executor& aExecutor,
                 peer_client& aPeers,
                 retry_limits aRetries,
                 std::uint64_t aSeed);

  // Runs the request to its end, with retries. `aSmallBody` is the whole body
  // unless the head has `await_ready` set; then the body is read from `aBody`,
  // which can be read only once.
  request_result Run(routed_request& aRequest,
                     std::string_view aSmallBody,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);

  // Cancels attempts at nodes that were fenced or replaced; called
  // periodically. Their requests are retried or end as unknown instead of
  // waiting for their deadlines.
  void CancelLostAttempts();

  // Whether a request with this attempt id is a call of the local backend
  // server.
  bool IsCall(std::string_view aAttemptId) const;

  // The lowest remaining retry budget of all services.
  double RetriesLeft() const;

private:
  // Load of a node as seen from here.
  struct node_load
  {
    int mInFlightRequests = 0;
    int mReportedOutstanding = 0;
    instant mReportedAt = kNever;
    int mSentSinceReport = 0;
    server_room mRoom;            // by the latest report
    instant mAvoidUntil = kNever; // set when an attempt there fails
  };

  const node_record* ChooseNode(const routing_snapshot& aSnapshot,
                                const routed_request& aRequest);
  // A node that accepts work of an unkeyed service.
  struct unkeyed_node
  {
    const node_record* mRecord;
    const node_load* mLoad;
    bool mIsLocalDomain;
  };
  // The nodes that accept work of the service, by name; listed anew when a
  // record changes.
  const std::vector<unkeyed_node>& UnkeyedNodes(
    const routing_snapshot& aSnapshot,
    const std::string& aService);
  const node_record* ChooseUnkeyed(const routing_snapshot& aSnapshot,
                                   const std::string& aService);
  request_result RunTries(routed_request& aRequest,
                          std::string_view aSmallBody,
                          body_source& aBody,
                          response_sink& aSink,
                          cancellation& aCancellation,
                          try_history& aTries);
  request_result Attempt(const node_record& aNode,
                         routed_request& aRequest,
                         std::string_view aSmallBody,
                         body_source& aBody,
                         response_sink& aSink,
                         cancellation& aCancellation);
  static void LogAttempt(const routing_snapshot& aSnapshot,
                         const node_record& aNode,
                         const protocol::request_head& aHead,
                         const request_result& aResult);
  bool MayRetry(const request_result& aResult,
                const routed_request& aRequest,
                bool aHasBegun,
                int aSent);
  retry_budget& BudgetOf(const std::string& aService);
  // Divides the cluster's retry reserve evenly among the active nodes.
  void ShareReserve(const std::shared_ptr<const routing_snapshot>& aSnapshot);

  const routing_state& mRoutingState;
  local_executor& mExecutor;
  peer_client& mPeers;
  std::map<std::string, node_load> mLoads; // no entry is ever erased
  // By service, for the records of one snapshot.
  std::map<std::string, std::vector<unkeyed_node>> mUnkeyedNodes;
  std::shared_ptr<const cluster_view::node_map> mUnkeyedRecords;
  struct keyed_attempt
  {
    node_identity mNode;
    std::string mPeer; // the node's peer address
  };
  // Running attempts of keyed requests at other nodes. They can be retried at
  // the shard's new owner; requests without a key wait for their deadline.
  std::map<cancellation*, keyed_attempt> mAttempts;
  retry_limits mRetryLimits; // mReserve is this node's share
  double mFleetReserve;
  std::shared_ptr<const cluster_view::node_map> mReserveNodes;
  std::map<std::string, retry_budget> mBudgets; // by service
  std::mt19937_64 mRandom;
  std::int64_t mNextRequestId = 1;
};

} // namespace plantaindale
