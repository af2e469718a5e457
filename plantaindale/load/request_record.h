// The outcome of one request as observed by the client that sent it.
#pragma once

#include <cstdint>
#include <string>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

enum class observed_outcome
{
  kAnswered,
  kNotRun,    // reported by the node, or the connection failed
  kUnknown,   // reported by the node, or disconnected before an answer
  kBroken,    // disconnected during the answer
  kMismatched // the answer belongs to another request
};

struct request_record
{
  std::string mTag;
  std::string mKey;
  std::string mMethod;
  std::string mNodeAddress; // IP:PORT
  instant mScheduledAt;     // send time according to the request rate
  instant mCompletedAt;
  observed_outcome mOutcome = observed_outcome::kUnknown;
  std::string mDetail;

  // Includes the time that the request waited for a free connection.
  duration Latency() const { return mCompletedAt - mScheduledAt; }
};

std::string_view
ToText(observed_outcome aOutcome);

} // namespace plantaindale
