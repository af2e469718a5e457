// traffic_service runs the traffic thread, which accepts requests from callers
// and from other nodes and routes them by the snapshot that the control thread
// publishes. It never waits for the control thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/local_membership.h"
#include "plantaindale/request/crash_guard.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// Settings of the traffic thread, fixed at start.
struct traffic_settings
{
  http_header_names mHeaderNames;
  std::string mLocalService; // service of requests that enter here
  retry_limits mRetries;
  bool mQueuesLate = false; // see admission_queue
};

// State of the traffic thread for dumps and metrics.
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
  std::int64_t mLongestDelayMicros = 0; // of the traffic thread's timer
};

// All functions except Start are thread-safe. Callbacks run on the traffic
// thread and must not block.
class traffic_service
{
public:
  // See local_executor.
  traffic_service(const routing_state& aRoutingState,
                  const traffic_settings& aSettings,
                  std::function<void()> aOnNoServer,
                  std::function<void(std::string)> aOnLeaving,
                  crash_callbacks aOnCrashes);
  ~traffic_service();

  // Binds the addresses and starts the thread; fails if an address can't be
  // bound.
  absl::Status Start(const node_addresses& aAddresses, std::uint64_t aSeed);
  // Sends no more requests to the server after `aServesUntil`.
  void SetServer(std::optional<announced_server> aServer, instant aServesUntil);
  // See local_executor::SetColdUntil.
  void SetColdUntil(instant aColdUntil);
  // Closes the shards to new requests. `aOnDrained` gets those without a
  // running request at once, and each other one when its last request has
  // ended.
  void Close(std::vector<shard_id> aShards,
             std::function<void(std::vector<shard_id>)> aOnDrained);
  void StopAccepting();
  // See caller_server::EndBy.
  void EndBy(instant aRefuseFrom, instant aEndBy);
  // Passes `aReceive` the measurements since the last report.
  void TakeReport(std::function<void(traffic_report)> aReceive);

  void Inspect(std::function<void(traffic_state)> aReceive);

private:
  class thread_state;

  void Post(std::function<void(thread_state&)> aWork);

  const routing_state& mRoutingState;
  traffic_settings mSettings;
  std::function<void()> mOnNoServer;
  std::function<void(std::string)> mOnLeaving;
  crash_callbacks mOnCrashes;
  std::unique_ptr<thread_state> mThreadState;
  std::thread mThread;
};

} // namespace plantaindale
