// server_report is what a backend server says of itself in a response.
//
//   const server_report report = ReadServerReport(header_names, response);
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/server_load.h"

namespace plantaindale {

struct server_report
{
  // Requests per second that it takes from all nodes together; none: no limit.
  std::optional<double> mRateLimit;
  // The field for the limit was there but can't be read.
  bool mIsRateLimitMalformed = false;
  bool mIsLeaving = false;
  // What it says of its load; none: nothing that can be true.
  std::optional<server_load> mLoad;
  // Time from the end of the request to the head of its successful response;
  // 0: not measured.
  duration mRunTime{ 0 };
};

// The values of the response's fields; empty if the response does not have
// them.
server_report
ReadServerReport(std::string_view aRateLimit,
                 std::string_view aLeaving,
                 std::string_view aLoad = {});

} // namespace plantaindale
