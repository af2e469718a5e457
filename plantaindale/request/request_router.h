// request_router takes a caller's request, finds who is to run it, and hands
// it there. It tries again only what provably was not run, or what may be run
// again, within the deadline and a budget.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/request/local_executor.h"
#include "plantaindale/request/peer_client.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// A caller's request, with what the configuration says of it.
struct routed_request
{
  protocol::request_head mHead;
  instant mDeadline;
  instant mTarget; // an answer after this is worth less
  bool mIsIdempotent = false;
  bool mIsKeyed = false;
  int mMostServers = 3; // backend servers that may get it
};

// Belongs to the traffic thread; calls wait on the calling fiber.
class request_router
{
public:
  request_router(const routing_state& aRoutingState,
                 local_executor& aExecutor,
                 peer_client& aPeers,
                 retry_limits aRetries,
                 std::uint64_t aSeed);

  // `aSmallBody` is the whole body when the head doesn't await `ready`;
  // otherwise the body comes from `aBody`, once.
  request_result Run(routed_request& aRequest,
                     std::string_view aSmallBody,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);

  // Ends attempts at nodes that can't act any more; called often. Their
  // requests are tried again or end as unknown, instead of waiting for nothing.
  void CancelLostAttempts();

  // Of the service that has the fewest.
  double RetriesLeft() const;

private:
  // What is known of another node's load.
  struct node_load
  {
    int mInFlightRequests = 0;
    int mReportedOutstanding = 0;
    instant mReportedAt = kNever;
    instant mAvoidUntil = kNever; // after a failure to reach it
  };

  const node_record* ChooseNode(const routing_snapshot& aSnapshot,
                                const routed_request& aRequest);
  const node_record* ChooseUnkeyed(const routing_snapshot& aSnapshot,
                                   const std::string& aService);
  // What one more request would cost there, as a part of the server's slots.
  double CostOf(const node_record& aNode, bool aIsRemoteDomain, instant aNow);
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
  // Nodes that may act share the fleet's reserve of retries.
  void ShareReserve(const std::shared_ptr<const routing_snapshot>& aSnapshot);

  const routing_state& mRoutingState;
  local_executor& mExecutor;
  peer_client& mPeers;
  std::map<std::string, node_load> mLoads;
  struct keyed_attempt
  {
    node_identity mNode;
    std::string mPeer; // its address
  };
  // Attempts for keys at other nodes under way: whoever takes a lost node's
  // keys over can run them again. What has no key waits for its deadline.
  std::map<cancellation*, keyed_attempt> mAttempts;
  retry_limits mRetryLimits; // the reserve: of this node
  double mFleetReserve;
  std::shared_ptr<const routing_snapshot> mReserveSnapshot;
  std::map<std::string, retry_budget> mBudgets; // by service
  std::mt19937_64 mRandom;
  std::int64_t mNextRequestId = 1;
};

} // namespace plantaindale
