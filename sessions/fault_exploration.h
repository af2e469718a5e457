// The troubles under which ownership is explored, and what becomes of them
// when one rule of the lease is taken out.
#pragma once

#include <string_view>

#include "sessions/cluster_model.h"

namespace plantaindale::sessions {

// A member of lease_rules by its name, or `drift-margin`; empty: none is taken
// out. Each comes with the troubles that the rule is there for.
model_settings
ExplorationSettings(std::string_view aRule);

} // namespace plantaindale::sessions
