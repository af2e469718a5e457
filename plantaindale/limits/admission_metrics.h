// admission_metrics counts the requests that a server_limiter turned away, by
// reason and priority, and the time that requests were queued.
//
//   metrics.CountTurnedAway(turn_away_reason::kDisplaced, 2);
//   std::string text = metrics.ToPrometheus();
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

enum class turn_away_reason
{
  kNoRoom,    // refused on arrival: could not end by its deadline or target
  kQueueFull, // refused on arrival
  kDisplaced, // by a request that is worth more
  kExpired    // waited until too little time was left to run it
};

std::string_view
ToText(turn_away_reason aReason);

// Not thread-safe.
class admission_metrics
{
public:
  // Commands.
  void CountTurnedAway(turn_away_reason aReason, int aPriority)
  {
    ++mTurnedAway[{ aReason, aPriority }];
  }
  // Counts a request whose requester left before it was admitted.
  void CountWithdrawn() { ++mWithdrawn; }
  // Counts a request that leaves the queue.
  void CountQueued(duration aWaited)
  {
    ++mQueued;
    mQueuedFor += aWaited;
  }

  // Queries.
  std::int64_t TurnedAway(turn_away_reason aReason, int aPriority) const;
  std::int64_t Withdrawn() const { return mWithdrawn; }
  std::string ToPrometheus() const;

private:
  std::map<std::pair<turn_away_reason, int>, std::int64_t> mTurnedAway;
  std::int64_t mWithdrawn = 0;
  std::int64_t mQueued = 0;
  duration mQueuedFor{ 0 };
};

} // namespace plantaindale
