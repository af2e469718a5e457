#include "plantaindale/cli/exit_code.h"

#include <iostream>

#include "plantaindale/base/error.h"

namespace plantaindale {

int
ReportError(const absl::Status& aStatus)
{
  std::cerr << "plantaindale: " << Reason(aStatus) << "\n";
  switch (aStatus.code()) {
    case absl::StatusCode::kFailedPrecondition:
      return kExitStaleBase;
    case absl::StatusCode::kUnknown:
      return kExitUnknown;
    case absl::StatusCode::kNotFound:
      return kExitNotFound;
    default:
      return kExitFailed;
  }
}

} // namespace plantaindale
