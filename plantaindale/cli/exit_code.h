// Exit codes of the command line tool. OPERATIONS.md documents them.
#pragma once

#include "absl/status/status.h"

namespace plantaindale {

enum exit_code
{
  kExitSuccess = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitStaleBase = 3,
  kExitUnknown = 4, // the operation may or may not have taken effect
  kExitNotFound = 5
};

// Prints the error to stderr and returns the exit code for it.
int
ReportError(const absl::Status& aStatus);

} // namespace plantaindale
