// Errors of a request that was not admitted, with the time until room is
// expected for it.
//
//   return MakeRefusal(absl::StatusCode::kResourceExhausted, "queue", wait);
//   ...
//   const duration wait = RoomExpectedIn(permit.status());
#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

absl::Status
MakeRefusal(absl::StatusCode aCode,
            std::string_view aReason,
            duration aRoomExpectedIn);

// 0: not known.
duration
RoomExpectedIn(const absl::Status& aRefusal);

} // namespace plantaindale
