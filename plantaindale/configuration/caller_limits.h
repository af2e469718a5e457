// caller_limits holds the size limits and timeouts that a node applies to
// requests and connections of callers.
#pragma once

#include <chrono>
#include <cstdint>

namespace plantaindale {

struct caller_limits
{
  std::int64_t mHeadBytes = 32 * 1024;
  std::int64_t mBodyBytes = 0; // 0: no limit
  // Time allowed from the first byte of a request to the end of its head.
  std::chrono::milliseconds mHeadTimeout{ 15000 };
  // Connections without a request are closed after this time.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

} // namespace plantaindale
