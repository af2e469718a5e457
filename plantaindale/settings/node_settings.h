// The settings of one node process, from its YAML file: who it is, where it
// listens and where the platform is. All else is in the configuration.
#pragma once

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/limits/retry_budget.h"
#include "plantaindale/node/local_membership.h"
#include "plantaindale/node/server_presence.h"

namespace plantaindale {

// The forms in which a node meets its installation.
enum class interface_kind
{
  kNative, // the project's own
  kSidecar // the users' platform
};

struct node_settings
{
  node_description mDescription;
  std::string mPlatform; // IP:PORT
  interface_kind mInterface = interface_kind::kNative;
  // Where the platform asks whether callers may come, and where metrics are
  // read; empty: only at the admin address.
  std::string mReadyAddress;
  std::string mMetricsAddress;
  expected_server mServer;
  // A server without a heartbeat for so long is taken for lost; 0: never.
  std::chrono::milliseconds mServerHeartbeatTimeout{ 0 };
  // A server that leaves gets requests for so long after it was confirmed.
  std::chrono::milliseconds mServerDrain{ 3'600'000 };
  // Callers notice that a node isn't ready any more within this.
  std::chrono::milliseconds mReadinessPropagation{ 1000 };
  // From SIGTERM to the end of the process at the latest.
  std::chrono::milliseconds mGrace{ 60'000 };
  retry_limits mRetries;
};

// Every fault is reported at once, with file, line and expectation.
absl::StatusOr<node_settings>
ReadNodeSettings(const std::string& aFile);

} // namespace plantaindale
