// What a caller of the load tool saw of one request.
#pragma once

#include <cstdint>
#include <string>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

enum class seen_outcome
{
  kAnswered,
  kNotRun,  // told so, or never connected
  kUnknown, // told so, or the connection broke before an answer
  kBroken,  // the answer broke off
  kCrossed  // the answer belongs to another request
};

struct request_record
{
  std::string mTag;
  std::string mKey;
  std::string mMethod;
  std::string mEntry; // the node it was sent to, IP:PORT
  instant mDue;       // when it should have been sent
  instant mDone;
  seen_outcome mOutcome = seen_outcome::kUnknown;
  std::string mDetail;

  duration Took() const { return mDone - mDue; }
};

std::string_view
ToText(seen_outcome aOutcome);

} // namespace plantaindale
