// server_limiter admits requests to the backend server beside the node: never
// more at a time than it has slots, a bounded queue behind them, and an early
// no to those that would come too late.
//
// The most urgent priority goes first; then keys take turns; then the earliest
// target. So the short calls that a running request of another server waits
// for go before new work, which can wait longer.
//
//   auto turn = limiter.Acquire({ key, route, priority, target, deadline });
//   if (!turn.ok()) { ... not run ... }
//   ... run; the turn ends when it goes out of scope ...
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/admission_request.h"
#include "plantaindale/limits/service_time_estimator.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Belongs to one thread; Acquire waits on the calling fiber.
class server_limiter
{
public:
  // One running request. Ends it, and lets the next one in, when destroyed.
  class permit
  {
  public:
    permit(server_limiter& aLimiter, std::string_view aRoute);
    permit(permit&& aOther) noexcept;
    permit(const permit&) = delete;
    permit& operator=(const permit&) = delete;
    permit& operator=(permit&&) = delete;
    ~permit();

  private:
    server_limiter* mLimiter;
    std::string mRoute;
    instant mStartTime;
  };

  // Commands.
  void SetSlots(int aSlots);
  // Waits for a turn. kResourceExhausted: the queue is full, or so long that
  // the answer would come after the target; kDeadlineExceeded: when its turn
  // came, or before, too little time was left.
  absl::StatusOr<permit> Acquire(const admission_request& aRequest);

  // Queries.
  int Slots() const { return mSlots; }
  int Running() const { return mRunning; }
  int Waiting() const { return static_cast<int>(mQueue.size()); }
  int Outstanding() const { return Running() + Waiting(); }
  duration TypicalTime() const { return mServiceTimes.Overall(); }

private:
  struct waiter
  {
    boost::fibers::condition_variable mDequeued;
    bool mIsDequeued = false; // has left the queue
    bool mIsAdmitted = false;
    instant mStartBy; // a start after this would end too late
  };
  // The order of turns: priority, turn of the key, target, order of coming.
  using queue_position = std::tuple<int, std::int64_t, instant, std::int64_t>;
  struct key_state
  {
    std::int64_t mLastRound = 0;
    int mWaiting = 0;
  };

  queue_position PositionOf(const admission_request& aRequest);
  duration ExpectedWait(const queue_position& aPosition) const;
  void RemoveWaiter(const std::string& aKey);
  void Release(std::string_view aRoute, duration aTook);
  void AdmitNext();

  int mSlots = 0;
  int mRunning = 0;
  service_time_estimator mServiceTimes;
  std::map<queue_position, waiter*> mQueue;
  // Keys that wait. A key's requests have turns one after the other, from the
  // turn that was called last on.
  std::map<std::string, key_state, std::less<>> mKeys;
  std::int64_t mRound = 0;
  std::int64_t mNextOrder = 0;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
