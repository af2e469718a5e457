// server_notice is a message from a backend server to its node: a heartbeat, or
// the announcement that the server is shutting down.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "plantaindale/membership/node_record.h"

namespace plantaindale {

struct server_notice
{
  enum class kind
  {
    kHeartbeat,
    kLeaving // only mServer.mInstance is set
  };
  kind mKind = kind::kHeartbeat;
  announced_server mServer;
  // Increases with each notice of one server process; 0: not provided.
  std::int64_t mSequence = 0;
  std::int64_t mReceivedAt = 0; // Unix ms, by the node's clock
  // How much longer the server is cold; none: it does not say. Not part of
  // mServer, since the record in the store does not follow it.
  std::optional<duration> mColdFor;
};

} // namespace plantaindale
