// OrThrow is for parsers that report errors by exceptions, which the function
// that calls them converts to a status.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

#include "absl/status/statusor.h"

namespace plantaindale {

// Returns the value, or throws std::invalid_argument with the error's message.
template<class value_type>
value_type
OrThrow(absl::StatusOr<value_type> aValue)
{
  if (!aValue.ok()) {
    throw std::invalid_argument(std::string(aValue.status().message()));
  }
  return *std::move(aValue);
}

} // namespace plantaindale
