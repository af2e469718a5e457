// What a caller of the load tool saw of one request.
#pragma once

#include <cstdint>
#include <string>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

enum class observed_outcome
{
  kAnswered,
  kNotRun,    // told so, or never connected
  kUnknown,   // told so, or the connection broke before an answer
  kBroken,    // the answer broke off
  kMismatched // the answer belongs to another request
};

struct request_record
{
  std::string mTag;
  std::string mKey;
  std::string mMethod;
  std::string mNodeAddress; // the node it was sent to, IP:PORT
  instant mScheduledAt;     // when it should have been sent
  instant mCompletedAt;
  observed_outcome mOutcome = observed_outcome::kUnknown;
  std::string mDetail;

  duration Latency() const { return mCompletedAt - mScheduledAt; }
};

std::string_view
ToText(observed_outcome aOutcome);

} // namespace plantaindale
