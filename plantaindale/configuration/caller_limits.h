// caller_limits bounds what a caller may send to a node, and how long it may
// take.
#pragma once

#include <chrono>
#include <cstdint>

namespace plantaindale {

struct caller_limits
{
  std::int64_t mHeadBytes = 32 * 1024;
  std::int64_t mBodyBytes = 0; // 0: no limit
  // From the first byte of a request to the end of its head.
  std::chrono::milliseconds mHeadTimeout{ 15000 };
  // A connection without a request is closed after this.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

} // namespace plantaindale
