// server_limiter admits requests to the backend server beside the node: never
// more at a time than it has slots, a bounded queue behind them, fair turns by
// key, and an early no to those whose deadline can't be met.
//
//   auto turn = limiter.Acquire("district-7", target, deadline);
//   if (!turn.ok()) { ... not run ... }
//   ... run; the turn ends when it goes out of scope ...
#pragma once

#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Belongs to one thread; Acquire waits on the calling fiber.
class server_limiter
{
public:
  // One running request. Ends it, and lets the next one in, when destroyed.
  class turn
  {
  public:
    explicit turn(server_limiter& aLimiter);
    turn(turn&& aOther) noexcept;
    turn(const turn&) = delete;
    turn& operator=(const turn&) = delete;
    turn& operator=(turn&&) = delete;
    ~turn();

  private:
    server_limiter* mLimiter;
    instant mBegan;
  };

  // Commands.
  void SetSlots(int aSlots);
  // Waits for a turn. kResourceExhausted: the queue is full, or so long that
  // the answer would come after `aTarget`; kDeadlineExceeded: the deadline
  // passed in it.
  absl::StatusOr<turn> Acquire(std::string_view aKey,
                               instant aTarget,
                               instant aDeadline);

  // Queries.
  int Slots() const { return mSlots; }
  int Running() const { return mRunning; }
  int Waiting() const { return mWaiting; }
  int Outstanding() const { return mRunning + mWaiting; }
  duration TypicalTime() const { return mTypicalTime; }

private:
  struct waiter
  {
    boost::fibers::condition_variable mChanged;
    bool mAdmitted = false;
  };
  // Those who wait for one key, in the order of their coming.
  struct key_queue
  {
    std::string mKey;
    std::deque<waiter*> mWaiters;
  };

  // Of a request with the key: its own key's queue and as many turns of each
  // other key come before it.
  duration ExpectedWait(std::string_view aKey) const;
  void Enqueue(std::string_view aKey, waiter& aWaiter);
  void Withdraw(std::string_view aKey, waiter& aWaiter);
  void Release(duration aTook);
  void AdmitNext();

  int mSlots = 0;
  int mRunning = 0;
  int mWaiting = 0;
  duration mTypicalTime{ 0 };
  // Keys that wait; the front one has the next turn and then goes last.
  std::list<key_queue> mTurns;
  std::unordered_map<std::string, std::list<key_queue>::iterator> mQueues;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
