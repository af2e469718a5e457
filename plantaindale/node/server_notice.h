// server_notice is what a backend server says of itself to the node beside it:
// a heartbeat, or that it leaves.
#pragma once

#include <cstdint>
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
  // Rises with each notice of one start of the server; 0: not told.
  std::int64_t mSequence = 0;
};

} // namespace plantaindale
