// retry_budget limits the load that retries add: each request earns a fraction
// of a retry, up to a reserve.
//
//   retry_budget budget({ 0.2, 100 });
//   budget.OnRequest();
//   if (budget.TryTakeRetry()) { ... }
#pragma once

#include <algorithm>

namespace plantaindale {

struct retry_limits
{
  double mPerRequest = 0.2; // retries earned per request
  // Maximum of saved retries of the whole cluster, shared evenly by its nodes.
  double mReserve = 100;
};

// Single-threaded.
class retry_budget
{
public:
  explicit retry_budget(retry_limits aLimits)
    : mLimits(aLimits)
    , mRetries(aLimits.mReserve)
  {
  }

  // Commands.
  // Sets the maximum of saved retries of this node.
  void SetReserve(double aReserve)
  {
    mLimits.mReserve = aReserve;
    mRetries = std::min(mRetries, aReserve);
  }
  void OnRequest()
  {
    mRetries = std::min(mRetries + mLimits.mPerRequest, mLimits.mReserve);
  }
  // Spends one retry; false if none is left.
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
