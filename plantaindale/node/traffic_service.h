// traffic_service is the traffic thread: it takes requests from callers and
// from other nodes and runs them, by the snapshot that the control thread
// publishes. It never waits for the control thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "plantaindale/node/events.h"
#include "plantaindale/node/own_record.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// What the traffic thread knows, for dumps and metrics.
struct traffic_state
{
  std::string mPrometheus;
  int mSlots = 0;
  int mRunning = 0;
  int mWaiting = 0;
  int mCallerRequests = 0;
  std::size_t mRememberedKeys = 0;
  double mRetriesLeft = 0;
  std::int64_t mTypicalMicros = 0;
};

// All functions are thread-safe but Start. Call-backs run on the traffic
// thread and must not wait.
class traffic_service
{
public:
  explicit traffic_service(const routing_board& aBoard);
  ~traffic_service();

  // Commands.
  // Binds and starts the thread; an error when an address can't be bound.
  absl::Status Start(const node_addresses& aAddresses, std::uint64_t aSeed);
  void SetServer(announced_server aServer);
  void Close(shard_id aShard, std::function<void()> aOnQuiet);
  void StopAccepting();
  void TakeReport(std::function<void(traffic_report)> aReceive);

  // Queries.
  void Inspect(std::function<void(traffic_state)> aReceive);

private:
  class parts;

  void Post(std::function<void(parts&)> aWork);

  const routing_board& mBoard;
  std::unique_ptr<parts> mParts;
  std::thread mThread;
};

} // namespace plantaindale
