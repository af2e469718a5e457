// caller_connection serves one connection of a caller. It reads the requests as
// they arrive, runs those that may be repeated side by side, and sends the
// responses in the order of the requests.
//
//   auto connection = std::make_shared<caller_connection>(services, socket, t);
//   connection->Serve();
//
// One fiber at a time reads. It also runs the request that it has read; if more
// input arrives meanwhile, another fiber goes on reading. A request that may
// not be repeated, or has a body, waits until all before it are answered and
// runs alone.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "plantaindale/limits/byte_budget.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/observe/request_metrics.h"
#include "plantaindale/request/caller_input.h"
#include "plantaindale/request/caller_problem.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_resolver.h"
#include "plantaindale/request/request_router.h"
#include "plantaindale/request/response_order.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

class caller_sink;

// Memory of a process for large responses whose callers read slowly.
inline constexpr std::size_t kMaxBytesForSlowReaders = 8 * 1024 * 1024;

// What all connections of a caller_server use.
struct caller_services
{
  const routing_state& mRoutingState;
  request_router& mRouter;
  request_metrics& mMetrics;
  const http_header_names& mHeaderNames;
  request_resolver mResolver;
  look_ahead_budget mLookAhead = {};
  byte_budget mSlowReaders{ kMaxBytesForSlowReaders };
  int mRunning = 0; // requests at the router
  // The process shuts down at mEndBy. From mRefuseFrom on, a request with a
  // later deadline is refused as not run and its connection is closed.
  instant mRefuseFrom = instant::max();
  instant mEndBy = instant::max();
};

// Single-threaded. Its fibers share the ownership.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
  // `aServices` must outlive it.
  caller_connection(caller_services& aServices, tcp_socket aSocket);
  ~caller_connection();

  // Reads and runs requests until the connection has ended or another fiber
  // reads. Blocks the calling fiber.
  void Serve();

private:
  class gate;
  class outstanding_request;

  // Reading.
  bool ServeNextRequest();
  bool AwaitRoom();
  bool AwaitAnswered();
  template<class condition_type>
  void AwaitChange(const condition_type& aCondition);
  bool ReadHead(caller_parser& aParser, const caller_limits& aLimits);
  void PassReadingOn();
  bool TakeReadingBack();
  void OnInputReady();
  void ContinueOnOtherFiber();
  void EndReading();

  // The end of the connection.
  void OnHangup();
  bool HasCallerLeft();
  void Fail();
  void CancelAll();
  bool IsDraining() const;
  bool IsUsable() const { return !mHasFailed && !mHasLeft; }
  bool MayRunMore() const { return IsUsable() && !mOrder.IsClosed(); }

  // Requests.
  std::optional<caller_problem> FindLateProblem(const routed_request& aRequest);
  void Refuse(const caller_problem& aProblem,
              const caller_parser& aParser,
              bool aMustClose);
  byte_budget* SlowReadersOf(const routed_request& aRequest);
  bool RunSideBySide(routed_request& aRequest,
                     const caller_parser& aParser,
                     instant aBegan);
  void RunAlone(routed_request& aRequest,
                caller_parser& aParser,
                instant aBegan);
  request_result Run(routed_request& aRequest,
                     std::string_view aSmallBody,
                     body_source& aBody,
                     caller_sink& aSink,
                     outstanding_request& aOutstanding,
                     instant aBegan);
  void FinishResponse(const request_result& aResult,
                      caller_sink& aSink,
                      gate& aGate);
  void SendProblem(const caller_problem& aProblem, gate& aGate);

  caller_services& mServices;
  tcp_stream mStream;
  caller_input mInput;
  response_order mOrder;
  std::set<cancellation*> mCancellations; // of the outstanding requests
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged; // of mOrder, or the end
  std::string mLatestAttempt; // id of the request that was run last, for logs
  bool mHasFailed = false;    // the connection can't be used any more
  bool mHasLeft = false;      // the caller closed it

  // Whether a fiber reads. While none does, mInput tells of input.
  bool mIsRead = true;
};

} // namespace plantaindale
