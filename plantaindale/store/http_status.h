// What an HTTP status of the platform's store says of a call.
#pragma once

#include "absl/status/status.h"

namespace plantaindale {

// kAborted: another revision is current. kOutOfRange: too old a revision.
// kUnavailable: nothing was done. kUnknown: it may have been.
absl::StatusCode
StoreHttpStatusToCode(int aHttpStatus);

} // namespace plantaindale
