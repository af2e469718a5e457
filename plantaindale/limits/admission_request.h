// admission_request holds what server_limiter needs to know of a request.
#pragma once

#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

class cancellation;

struct admission_request
{
  std::string_view mKey;   // for fair queueing between keys; empty: no key
  std::string_view mRoute; // run times are estimated per route
  int mPriority = 0;       // 0 is the most urgent
  instant mTarget;         // desired response time
  instant mDeadline;       // a response after this is useless
  // Made by a backend server for a request that it runs. If it fails, the work
  // of that request is lost.
  bool mIsCall = false;
  // Ends the wait; null: nothing does.
  cancellation* mCancellation = nullptr;
};

} // namespace plantaindale
