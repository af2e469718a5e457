// Errors that say where they arose: every absl::Status made here carries the
// step that failed and the peer it failed with.
//
//   return MakeError(absl::StatusCode::kUnavailable, "connect", "10.0.0.7:80",
//                    "connection refused");
//   // message: step=connect peer=10.0.0.7:80 connection refused
#pragma once

#include <string_view>

#include "absl/status/status.h"

namespace plantaindale {

// An error of the given code at `aStep` with `aPeer` (empty when there is
// none).
absl::Status
MakeError(absl::StatusCode aCode,
          std::string_view aStep,
          std::string_view aPeer,
          std::string_view aReason);

// The text of an error.
std::string_view
Reason(const absl::Status& aStatus);

} // namespace plantaindale
