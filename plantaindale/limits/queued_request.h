// queued_request is one request in an admission_queue. Its owner keeps it alive
// while it is queued.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "plantaindale/limits/admission_request.h"

namespace plantaindale {

struct queued_request
{
  queued_request(const admission_request& aRequest, duration aRunTime)
    : mKey(aRequest.mKey)
    , mPriority(aRequest.mPriority)
    , mIsCall(aRequest.mIsCall)
    , mTarget(std::min(aRequest.mTarget, aRequest.mDeadline))
    , mDeadline(aRequest.mDeadline)
    , mRunTime(aRunTime)
  {
  }

  // Run times vary: a request that has to end by some time needs a quarter more
  // than expected.
  duration NeededTime() const { return mRunTime * 5 / 4; }
  // A later start would probably miss the deadline.
  instant LatestStart() const { return mDeadline - NeededTime(); }
  // Whether a request that starts at `aStart` can end by its target.
  bool IsInTimeAt(instant aStart) const
  {
    return aStart + NeededTime() <= mTarget;
  }
  // When it has to end: by its target while it can, else by its deadline.
  instant DueAt(instant aStart) const
  {
    return IsInTimeAt(aStart) ? mTarget : mDeadline;
  }

  std::string mKey; // empty: no key
  int mPriority;
  bool mIsCall;
  instant mTarget;
  instant mDeadline;
  duration mRunTime; // expected

  // Set by admission_queue.
  bool mIsLate = false;      // can only end after its target
  std::int64_t mRound = 0;   // see admission_queue
  std::int64_t mArrival = 0; // number of the arrival
};

} // namespace plantaindale
