// admission_queue decides which of the requests that wait for a backend server
// runs next, which is turned away when there is too little room, and when a
// request that was turned away should return. It reads no clock and blocks
// nobody.
//
// What is delayed or turned away is what costs callers least:
// - The most urgent priority goes first, within it calls go before new work: a
//   failed call wastes the work of the request that made it. For the same
//   reason a less urgent call that has to start sooner may go first as long as
//   the more urgent work still ends by its target, with its own run time to
//   spare.
// - Then, requests that can end by their target go before those that can only
//   end by their deadline.
// - Keys take turns. Within a turn, the least time left goes first, so that a
//   caller that returns after a refusal goes before a new one.
// - A request is refused on arrival if it can't end by its deadline or, unless
//   late ones may wait, probably not by its target. If the queue is full, or
//   work that goes first arrives, the least valuable request that waits is
//   displaced.
//
//   queued_request request(arrived, expected_run_time);
//   const auto decision = queue.Offer(request, now);
//   if (decision.mDisplaced != nullptr) { ... answer it as not run ... }
//   if (decision.mRefusal) { ... answer `request` as not run ... }
//   ...
//   queued_request* next = queue.Next(now);
//   queue.Start(*next); // or Remove(*next)
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/accepted_load.h"
#include "plantaindale/limits/queued_request.h"

namespace plantaindale {

enum class admission_refusal
{
  kNoRoom,   // could not end by its deadline or target; see SetQueuesLate()
  kQueueFull // and nothing that waits is worth less
};

struct admission_decision
{
  std::optional<admission_refusal> mRefusal; // none: the request is queued
  // Was removed from the queue in favour of the request.
  queued_request* mDisplaced = nullptr;
  duration mExpectedWait{ 0 }; // of the request
};

// Single-threaded.
class admission_queue
{
public:
  // Commands.
  // Whether a request waits that can only end after its target; otherwise it is
  // refused, also if it will probably be late. Calls wait in either case.
  void SetQueuesLate(bool aQueuesLate) { mQueuesLate = aQueuesLate; }
  // Requests that run at the same time.
  void SetSlots(int aSlots) { mSlots = aSlots; }
  // A cold server starts no more than this; none: no limit.
  void SetRate(std::optional<double> aStartsPerSecond)
  {
    mRate = aStartsPerSecond;
  }
  // Notes a request that starts without waiting.
  void StartAtOnce(int aPriority, duration aRunTime, instant aNow)
  {
    mLoad.Add(aPriority, aRunTime, aNow);
  }
  // Queues the request, unless it is refused. `aFirstSlotIn` is the expected
  // time until a running request ends.
  admission_decision Offer(queued_request& aRequest,
                           duration aFirstSlotIn,
                           instant aNow);
  // The queued request that should start now; none if the queue is empty.
  queued_request* Next(instant aNow);
  // Takes a request that starts out of the queue.
  void Start(queued_request& aRequest);
  // Takes a request that won't run out of the queue.
  void Remove(queued_request& aRequest);

  // Queries.
  int Size() const { return static_cast<int>(mQueue.size()); }
  // Time until all that waits has been started.
  duration Backlog() const;

private:
  struct goes_before
  {
    bool operator()(const queued_request* aLeft,
                    const queued_request* aRight) const;
  };
  struct key_state
  {
    std::int64_t mLastRound = 0;
    int mWaiting = 0;
  };
  using queue = std::set<queued_request*, goes_before>;

  std::int64_t RoundOf(const queued_request& aRequest) const;
  duration CostOf(const queued_request& aRequest) const;
  // Expected wait of a request at its place in the queue, in which it need not
  // be yet, after a slot is free.
  duration WaitOf(queued_request& aRequest, instant aNow) const;
  // Sets whether the request can end by its target, and returns its wait.
  duration Place(queued_request& aRequest, duration aFirstSlotIn, instant aNow);
  // The least valuable request that waits if it is worth less than `aRequest`.
  queued_request* FindVictim(const queued_request& aRequest) const;
  // Moves requests that have become late behind the others of their priority.
  void MoveLate(instant aNow);
  void Insert(queued_request& aRequest);

  int mSlots = 0;
  std::optional<double> mRate;
  accepted_load mLoad;
  queue mQueue;
  // Keys with queued requests. Each request of a key is one round later than
  // the one before, starting after the round that was started last.
  std::map<std::string, key_state, std::less<>> mKeys;
  std::int64_t mRound = 0;
  std::int64_t mArrivals = 0;
  int mWaitingCalls = 0; // those in mQueue
  bool mQueuesLate = true;
};

} // namespace plantaindale
