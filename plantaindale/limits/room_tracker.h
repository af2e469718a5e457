// room_tracker keeps the room of the local backend server, from the load that
// the server tells and from the run times measured here. The room of a server
// that tells no load is unknown.
//
//   tracker.OnLoad(load, now);
//   tracker.OnRun(took, now);
//   const server_room room = tracker.Room({ running, waiting, rate }, now);
#pragma once

#include <optional>

#include "plantaindale/limits/server_load.h"
#include "plantaindale/limits/server_room.h"

namespace plantaindale {

// What passes through the node of the server.
struct server_demand
{
  int mRunning = 0;
  int mWaiting = 0;
  std::optional<double> mStartsPerSecond; // none: no limit
};

// Single-threaded.
class room_tracker
{
public:
  // Forgets what is known, for another start of the server.
  void SetServer(int aSlots);
  // Takes in what the server says in a response; returns whether that tells how
  // long work takes there now, and is possible for a server of these slots.
  bool OnLoad(const server_load& aLoad, instant aNow);
  // Takes in the run time of a request, without its wait.
  void OnRun(duration aTook, instant aNow);

  server_room Room(const server_demand& aDemand, instant aNow) const;
  // Slots x speed, where a request of usual size in a second is speed 1; 0:
  // unknown. For comparison with other servers of the same service.
  double Capacity(instant aNow) const;

private:
  // Mean of the recent values, where older ones weigh less.
  struct decaying_mean
  {
    double mWeight = 0;
    double mSum = 0;
    instant mUpdatedAt = kNever;

    void Add(double aValue, instant aNow);
    double Mean() const { return mSum / mWeight; }
  };

  // 0: not enough requests have run.
  duration UsualRun() const;

  int mSlots = 0;
  std::optional<server_load> mLoad;
  instant mLoadAt = kNever;
  decaying_mean mSlowness;
  // Of logarithms: a server that is twice as fast has half the geometric mean
  // of run times, and rare long requests change it less than the plain mean.
  decaying_mean mLogRunSeconds;
};

} // namespace plantaindale
