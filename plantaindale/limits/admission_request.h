// What the limits of a backend server weigh when a request asks for a turn.
#pragma once

#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

struct admission_request
{
  std::string_view mKey;   // keys take turns; empty: no key
  std::string_view mRoute; // requests of one route take about as long
  int mPriority = 0;       // 0 is the most urgent
  instant mTarget;         // an answer after this is worth less
  instant mDeadline;       // one after this is worth nothing
};

} // namespace plantaindale
