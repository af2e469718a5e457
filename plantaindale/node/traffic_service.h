// traffic_service is the traffic thread: it takes requests from callers and
// from other nodes and runs them, by the snapshot that the control thread
// publishes. It never waits for the control thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/local_membership.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// What the traffic thread needs to know from the start.
struct traffic_settings
{
  http_header_names mDialect;
  std::string mLocalService; // of requests that begin at this node
  retry_limits mRetries;
};

// What the traffic thread knows, for dumps and metrics.
struct traffic_state
{
  std::string mPrometheus;
  int mSlots = 0;
  int mRunning = 0;
  int mWaiting = 0;
  int mCallerRequests = 0;
  int mOutstanding = 0; // requests for the backend server, of any node
  std::size_t mRememberedKeys = 0;
  double mRetriesLeft = 0;
  std::int64_t mTypicalMicros = 0;
};

// All functions are thread-safe but Start. Call-backs run on the traffic
// thread and must not wait.
class traffic_service
{
public:
  // `aOnNoServer` is called on the traffic thread when nothing listens at the
  // backend server's address.
  traffic_service(const routing_state& aBoard,
                  const traffic_settings& aSettings,
                  std::function<void()> aOnNoServer);
  ~traffic_service();

  // Commands.
  // Binds and starts the thread; an error when an address can't be bound.
  absl::Status Start(const node_addresses& aAddresses, std::uint64_t aSeed);
  // After `aServesUntil` the server gets no more requests.
  void SetServer(std::optional<announced_server> aServer, instant aServesUntil);
  void Close(shard_id aShard, std::function<void()> aOnQuiet);
  void StopAccepting();
  // See caller_server.
  void EndBy(instant aRefuseFrom, instant aEndBy);
  void TakeReport(std::function<void(traffic_report)> aReceive);

  // Queries.
  void Inspect(std::function<void(traffic_state)> aReceive);

private:
  class thread_state;

  void Post(std::function<void(thread_state&)> aWork);

  const routing_state& mBoard;
  traffic_settings mSettings;
  std::function<void()> mOnNoServer;
  std::unique_ptr<thread_state> mThreadState;
  std::thread mThread;
};

} // namespace plantaindale
