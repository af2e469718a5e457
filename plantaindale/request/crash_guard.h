// crash_guard keeps requests that end backend servers from the local one. It
// refuses those with a verdict, finds out whether the server ended when a
// connection to it breaks, and reports ends and runs that survive.
//
//   return guard.Run(head, cancellation, [&](const auto& aBeforeSend) {
//     return client.Run(head, ..., aBeforeSend);
//   });
#pragma once

#include <functional>
#include <map>

#include "plantaindale/request/backend_client.h"
#include "plantaindale/request/server_end_watch.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// None must block.
struct crash_callbacks
{
  std::function<void(server_end)> mOnServerEnd;
  // A request under which a server had ended, see crash_verdicts, got its
  // complete response from the local server.
  std::function<void(const request_fingerprint&)> mOnSuspectCompleted;
};

// Runs on the traffic thread; Run blocks the calling fiber.
class crash_guard
{
public:
  using run_function =
    std::function<request_result(const backend_client::before_send&)>;

  // `aOnNoServer` is called when nothing listens at the server's address.
  crash_guard(boost::asio::io_context& aContext,
              const routing_state& aRoutingState,
              std::function<void()> aOnNoServer,
              crash_callbacks aCallbacks);

  void SetServer(const announced_server& aServer);
  // Runs the request by `aRun` unless it is refused. The result has
  // kServerEndedStep if the server ended while it ran the request.
  request_result Run(const protocol::request_head& aHead,
                     const cancellation& aCancellation,
                     const run_function& aRun);

private:
  // Finds out by connecting to the server whether it ended under the run. Gives
  // up after a short time.
  void AwaitProof(server_end_watch::run_id aRun);
  void Probe(instant aUntil);
  boost::system::error_code Connect(instant aUntil);
  void OnRefused();
  void OnCompleted(const protocol::request_head& aHead);

  boost::asio::io_context& mContext;
  const routing_state& mRoutingState;
  std::function<void()> mOnNoServer;
  crash_callbacks mCallbacks;
  std::string mAddress;
  server_end_watch mWatch;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mProbed;
  bool mIsProbing = false;
  // When completions were last reported.
  std::map<request_fingerprint, instant> mReportedAt;
};

} // namespace plantaindale
