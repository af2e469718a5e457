// server_room is what a node knows of the room of a backend server: of its own,
// or of another node's by the latest report from there. What is old is unknown,
// not free.
//
//   const server_room room = FromMessage(outcome.room, boot_clock::now());
//   if (room.IsKnown(now)) { ... room.ExpectedRun(now) ... }
#pragma once

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// After this time nothing is known of a server any more.
inline constexpr duration kRoomLifetime = std::chrono::seconds(10);
// The slowness of a machine changes many times a second.
inline constexpr duration kSlownessLifetime = std::chrono::milliseconds(250);

struct server_room
{
  int mSlots = 0;       // 0: unknown
  int mRunning = 0;     // requests that the server runs
  int mWaiting = 0;     // requests that wait at its node or in the server
  double mSlowness = 0; // time of work now; 1: as usual, 0: unknown
  double mStartsPerSecond = 0; // the server takes no more; 0: no limit
  duration mWait{ 0 };         // expected wait of a request that arrives now
  duration mRun{ 0 };          // usual run time of a request; 0: unknown
  instant mMeasuredAt = kNever;

  bool IsKnown(instant aNow) const
  {
    return mSlots > 0 && aNow < mMeasuredAt + kRoomLifetime;
  }
  // Expected run time of a request that starts now; 0: unknown.
  duration ExpectedRun(instant aNow) const;
};

protocol::server_room
ToMessage(const server_room& aRoom);

// A message with impossible values is one without room.
server_room
FromMessage(const protocol::server_room& aMessage, instant aReceivedAt);

} // namespace plantaindale
