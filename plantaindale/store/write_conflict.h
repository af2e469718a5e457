// Attaches the current object to the status of a conditional write that failed
// with a conflict, which saves the writer a read before it retries.
//
//   if (auto current = CurrentObject(result.status())) { ... }
#pragma once

#include <optional>

#include "absl/status/status.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Returns `aRefusal` with `aCurrent` as its payload.
absl::Status
WithCurrentObject(absl::Status aRefusal, const stored_object& aCurrent);

// Returns nullopt if the status carries no object or a malformed one.
std::optional<stored_object>
CurrentObject(const absl::Status& aStatus);

} // namespace plantaindale
