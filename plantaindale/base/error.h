// Creates errors whose message names the step that failed and the peer that was
// involved.
//
//   return MakeError(absl::StatusCode::kUnavailable, "connect", "10.0.0.7:80",
//                    "connection refused");
//   // message: step=connect peer=10.0.0.7:80 connection refused
#pragma once

#include <string_view>

#include "absl/status/status.h"

namespace plantaindale {

// Creates an error with the given code. `aPeer` may be empty if no peer is
// involved. `aStep` and `aPeer` become key=value pairs before the reason.
absl::Status
MakeError(absl::StatusCode aCode,
          std::string_view aStep,
          std::string_view aPeer,
          std::string_view aReason);

// Returns the message of a status, valid as long as the status.
std::string_view
Reason(const absl::Status& aStatus);

} // namespace plantaindale
