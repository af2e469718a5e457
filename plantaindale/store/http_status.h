// Maps HTTP status codes of the platform's object store to absl::StatusCode.
#pragma once

#include "absl/status/status.h"

namespace plantaindale {

// Returns the code for an HTTP error status:
//
//   kInvalidArgument  the request is malformed or too large
//   kNotFound         there is no such object
//   kAborted          another revision is current
//   kOutOfRange       the requested revision is too old
//   kUnavailable      the store is overloaded; the call had no effect
//   kUnknown          any other status; the call may have had an effect
absl::StatusCode
StoreHttpStatusToCode(int aHttpStatus);

} // namespace plantaindale
