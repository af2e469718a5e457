// cold_pace decides how long a backend server counts as cold. A cold server
// takes only a few requests a second; a configured pace keeps it from ending
// under the full load. A server is cold after its start, may become cold again
// at any moment, and says in its heartbeats how long it stays so.
//
// What is not known counts as cold: before the first heartbeat of a start, and
// after an evacuation, during which servers may have become cold.
//
//   cold_pace pace;
//   pace.OnHeartbeat(started_at, says_cold_for, cold_start, now);
//   limiter gets the cold pace until pace.ColdUntil()
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Performs no I/O and reads no clock. Used by the control thread only.
class cold_pace
{
public:
  // A heartbeat of the server that was started as `aStart`. `aColdFor` is how
  // long it stays cold, as far as it says so; otherwise a server is cold for
  // `aColdStart` after the first heartbeat of its start.
  void OnHeartbeat(std::string_view aStart,
                   std::optional<duration> aColdFor,
                   duration aColdStart,
                   instant aNow);
  // The evacuation of the server's failure domain has ended. Heartbeats that
  // may have been sent before do not show that the server is warm.
  void OnEvacuationEnded(instant aNow);

  // kNever: it is warm. instant::max(): until a heartbeat says otherwise.
  instant ColdUntil() const { return mColdUntil; }

private:
  std::string mStart; // of the latest heartbeat
  instant mColdUntil = instant::max();
  instant mTrustedFrom = kNever; // heartbeats before may be too old
};

} // namespace plantaindale
