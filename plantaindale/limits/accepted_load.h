// accepted_load estimates how much of a backend server's time recently accepted
// requests take, by priority. A request that waits is also delayed by those
// that will be accepted while it waits and go before it.
//
//   load.Add(aRequest.mPriority, run_time, now);
//   const double busy = load.ShareUpTo(1, slots, now); // 0.8: 80%
#pragma once

#include <vector>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Single-threaded.
class accepted_load
{
public:
  // Commands.
  void Add(int aPriority, duration aRunTime, instant aNow);

  // Queries.
  // Part of the time of `aSlots` slots that requests of this priority and of
  // more urgent ones take.
  double ShareUpTo(int aPriority, int aSlots, instant aNow) const;

private:
  struct priority_load
  {
    int mPriority;
    double mSeconds; // run time, weighted by age
    instant mUpdated;
  };

  static double SecondsAt(const priority_load& aLoad, instant aNow);

  std::vector<priority_load> mLoads; // few
};

} // namespace plantaindale
