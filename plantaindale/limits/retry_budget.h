// retry_budget bounds how much work retries may add: each request earns a
// part of a retry, up to a reserve.
//
//   budget.OnRequest();
//   if (budget.TakeRetry()) { ... }
#pragma once

#include <algorithm>

namespace plantaindale {

// Belongs to one thread.
class retry_budget
{
public:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kReserve = 100; // retries

  // Commands.
  void OnRequest()
  {
    mRetries = std::min(mRetries + kRetriesPerRequest, kReserve);
  }
  // Whether there is a retry left; it is spent.
  bool TakeRetry()
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
  double mRetries = kReserve;
};

} // namespace plantaindale
