// Settings of a node process, read from its YAML file: identity, addresses and
// local time limits. Settings of the whole cluster are in
// cluster_configuration.
#pragma once

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/node/local_membership.h"
#include "plantaindale/node/server_presence.h"

namespace plantaindale {

// The protocols by which a node talks to backend servers and the platform.
enum class interface_kind
{
  kNative, // `own` in the file: the protocol of plantaindale itself
  kSidecar // the sidecar protocol of the platform
};

struct node_settings
{
  node_description mDescription;
  std::string mPlatform; // IP:PORT
  interface_kind mInterface = interface_kind::kNative;
  // Addresses of the readiness probe and of metrics, IP:PORT; empty: served at
  // the admin address only.
  std::string mReadyAddress;
  std::string mMetricsAddress;
  expected_server mServer;
  // See http_header_names::mCallsNameParents.
  bool mCallsNameParents = false;
  // Whether requests wait that can only end after their target latency.
  bool mQueuesLate = false;
  // A server without a heartbeat for this time is considered lost; 0: never.
  std::chrono::milliseconds mServerHeartbeatTimeout{ 0 };
  // How long a draining server receives requests after its drain was confirmed.
  std::chrono::milliseconds mServerDrain{ 3'600'000 };
  // Time until all callers have noticed that the node is no longer ready.
  std::chrono::milliseconds mReadinessPropagation{ 1000 };
  // Maximum time from SIGTERM to the exit of the process.
  std::chrono::milliseconds mGrace{ 60'000 };
  // Time within which an evacuation must be known; 0: there are none. Without
  // effect on the own interface, whose evacuations come with other changes.
  std::chrono::milliseconds mEvacuationBound{ 0 };
  retry_limits mRetries;
};

// Reads and validates the file. The error lists all faults, each with its line
// and the expected value.
absl::StatusOr<node_settings>
ReadNodeSettings(const std::string& aFile);

} // namespace plantaindale
