// retry_budget bounds how much work retries may add: each request earns a
// part of a retry, up to a reserve.
//
//   retry_budget budget({ 0.2, 100 });
//   budget.OnRequest();
//   if (budget.TakeRetry()) { ... }
#pragma once

#include <algorithm>

namespace plantaindale {

struct retry_limits
{
  double mPerRequest = 0.2; // retries that each request earns
  // Retries, at the most, that are saved up: of all nodes together, which
  // share it evenly.
  double mReserve = 100;
};

// Belongs to one thread.
class retry_budget
{
public:
  explicit retry_budget(retry_limits aLimits)
    : mLimits(aLimits)
    , mRetries(aLimits.mReserve)
  {
  }

  // Commands.
  // What this node may save up.
  void SetReserve(double aReserve)
  {
    mLimits.mReserve = aReserve;
    mRetries = std::min(mRetries, aReserve);
  }
  void OnRequest()
  {
    mRetries = std::min(mRetries + mLimits.mPerRequest, mLimits.mReserve);
  }
  // Whether there is a retry left; it is spent.
  bool TryTakeRetry()
  {
    if (mRetries < 1) {
      return false;
    }
    mRetries -= 1;
    return true;
  }

  // Queries.
  double Left() const { return mRetries; }

private:
  retry_limits mLimits;
  double mRetries;
};

} // namespace plantaindale
