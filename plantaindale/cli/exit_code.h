// What the command line's exit codes mean; OPERATIONS.md lists them.
#pragma once

#include "absl/status/status.h"

namespace plantaindale {

enum exit_code
{
  kExitSuccess = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitStaleBase = 3,
  kExitUnknown = 4, // whether it took effect isn't known
  kExitNotFound = 5
};

// Prints an error and returns the code for it.
int
ReportError(const absl::Status& aStatus);

} // namespace plantaindale
