#include "plantaindale/store/http_status.h"

namespace plantaindale {

absl::StatusCode
StoreHttpStatusToCode(int aHttpStatus)
{
  switch (aHttpStatus) {
    case 400:
    case 413:
      return absl::StatusCode::kInvalidArgument;
    case 404:
      return absl::StatusCode::kNotFound;
    case 409:
      return absl::StatusCode::kAborted;
    case 410:
      return absl::StatusCode::kOutOfRange;
    case 429: // rate limit exceeded
    case 503:
      return absl::StatusCode::kUnavailable;
    default:
      return absl::StatusCode::kUnknown;
  }
}

} // namespace plantaindale
