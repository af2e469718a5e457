// server_limiter is the admission control of a backend server: it runs at most
// as many requests as the server has slots and starts no more per second than
// the server allows. What waits, and what is turned away, is decided by an
// admission_queue.
//
//   auto permit = limiter.Acquire({ key, route, priority, target, deadline });
//   if (!permit.ok()) { ... not run ... }
//   ... run; the slot is freed when the permit goes out of scope ...
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/admission_metrics.h"
#include "plantaindale/limits/admission_queue.h"
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

    // The request was not run, so its time says nothing of run times.
    void DiscardTime() { mHasRun = false; }

  private:
    server_limiter* mLimiter;
    std::string mRoute;
    instant mStartTime;
    bool mHasRun = true;
  };

  // Commands.
  void SetSlots(int aSlots);
  // See admission_queue.
  void SetQueuesLate(bool aQueuesLate) { mQueue.SetQueuesLate(aQueuesLate); }
  // Requests per second that the server takes; none: no limit.
  void SetRate(std::optional<double> aPerSecond);
  // Waits for a slot. kResourceExhausted: the request was refused on arrival,
  // or displaced while it was queued. kDeadlineExceeded: while it was queued,
  // the time left became too short to run it. RoomExpectedIn() tells from
  // either when room is expected. kCancelled: its requester has left.
  absl::StatusOr<permit> Acquire(const admission_request& aRequest);

  // Queries.
  int Slots() const { return mSlots; }
  std::optional<double> Rate() const { return mRate.Rate(); }
  int Running() const { return mRunning; }
  int Waiting() const { return mQueue.Size(); }
  int Outstanding() const { return Running() + Waiting(); }
  duration TypicalTime() const { return mServiceTimes.Overall(); }
  const admission_metrics& Metrics() const { return mMetrics; }

private:
  struct waiter : queued_request
  {
    waiter(const admission_request& aRequest, duration aRunTime)
      : queued_request(aRequest, aRunTime)
      , mCancellation(aRequest.mCancellation)
    {
    }

    cancellation* mCancellation;
    boost::fibers::condition_variable mDequeued;
    bool mIsDequeued = false;
    bool mIsAdmitted = false;
    bool mIsDisplaced = false;
    bool mIsWithdrawn = false;
  };

  // Expected wait of a request that goes behind all that waits.
  duration ExpectedWait() const;
  duration FirstSlotIn(instant aNow) const;
  void Displace(waiter& aWaiter);
  // Takes a request out of the queue whose requester has left.
  void Withdraw(waiter& aWaiter);
  // Waits until the request has left the queue.
  void Await(waiter& aWaiter, instant aNow);
  absl::Status CountWithdrawn();
  absl::Status TurnAway(turn_away_reason aReason,
                        const admission_request& aRequest,
                        const queued_request& aQueued,
                        duration aWait);
  void Release();
  void AdmitNext();
  // Admits the next request when the rate allows it.
  void AdmitLater();

  int mSlots = 0;
  int mRunning = 0;
  rate_limit mRate;
  bool mIsAdmissionDue = false; // a fiber waits for the rate
  service_time_estimator mServiceTimes;
  admission_queue mQueue; // of waiters
  admission_metrics mMetrics;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
