// The times on which leases rest, the same on every node.
#pragma once

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

struct lease_timing
{
  // How long a vouch lasts.
  duration mTtl = std::chrono::seconds(1);
  // How often the holder asks.
  duration mRenewEvery = std::chrono::milliseconds(300);
  // More than two clocks can drift apart in one TTL, queueing excluded: the
  // holder gives it up, witnesses and takers add it. 10 ms in 1 s allows for
  // clocks whose rates differ by 1%.
  duration mDriftMargin = std::chrono::milliseconds(10);
  // A witness without a lease of its own stops vouching after this long.
  duration mGrace = std::chrono::seconds(30);
  // How long after a lapse a holder may still come back by itself.
  duration mPatience = std::chrono::milliseconds(200);
};

} // namespace plantaindale
