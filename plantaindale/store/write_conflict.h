// A conditional write that is refused because another revision is current may
// bring the object as it is, so that the writer needn't read it.
//
//   if (auto current = CurrentObject(result.status())) { ... }
#pragma once

#include <optional>

#include "absl/status/status.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// The refusal, with the object as its payload.
absl::Status
WithCurrentObject(absl::Status aRefusal, const stored_object& aCurrent);

// None when the status brings no object.
std::optional<stored_object>
CurrentObject(const absl::Status& aStatus);

} // namespace plantaindale
