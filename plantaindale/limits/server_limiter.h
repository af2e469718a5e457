// server_limiter is the admission control of a backend server: it runs at most
// as many requests as the server has slots, starts no more per second than the
// server allows, keeps a bounded queue, and rejects requests at once that would
// finish too late.
//
// The queue is ordered by priority, then round-robin between keys, then by the
// earliest target. Short calls on which a running request of another server
// depends therefore go before new work, whose target is later.
//
//   auto permit = limiter.Acquire({ key, route, priority, target, deadline });
//   if (!permit.ok()) { ... not run ... }
//   ... run; the slot is freed when the permit goes out of scope ...
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/admission_request.h"
#include "plantaindale/limits/rate_limit.h"
#include "plantaindale/limits/service_time_estimator.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Single-threaded; Acquire blocks the calling fiber.
class server_limiter
{
public:
  // A slot held by a running request. Destruction frees the slot and admits the
  // next request.
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
  // Requests per second that the server takes; none: no limit.
  void SetRate(std::optional<double> aPerSecond);
  // Waits for a slot. kResourceExhausted: the queue is full, or the estimated
  // wait would miss the target or the deadline. kDeadlineExceeded: while it was
  // queued, the time left became too short to run it.
  absl::StatusOr<permit> Acquire(const admission_request& aRequest);

  // Queries.
  int Slots() const { return mSlots; }
  std::optional<double> Rate() const { return mRate.Rate(); }
  int Running() const { return mRunning; }
  int Waiting() const { return static_cast<int>(mQueue.size()); }
  int Outstanding() const { return Running() + Waiting(); }
  duration TypicalTime() const { return mServiceTimes.Overall(); }

private:
  struct waiter
  {
    boost::fibers::condition_variable mDequeued;
    bool mIsDequeued = false;
    bool mIsAdmitted = false;
    instant mStartBy; // a later start would miss the deadline
  };
  // Queue order: priority, round of the key, target, order of arrival.
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
  // Admits the next request when the rate allows it.
  void AdmitLater();

  int mSlots = 0;
  int mRunning = 0;
  rate_limit mRate;
  bool mIsAdmissionDue = false; // a fiber waits for the rate
  service_time_estimator mServiceTimes;
  std::map<queue_position, waiter*> mQueue;
  // Keys with queued requests. Each request of a key is one round later than
  // the one before, starting after the round that was admitted last.
  std::map<std::string, key_state, std::less<>> mKeys;
  std::int64_t mRound = 0;
  std::int64_t mNextOrder = 0;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
