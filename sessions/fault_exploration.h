// Settings for exploring cluster_model under all faults, optionally with one
// rule of the lease protocol disabled to show which failure it prevents.
//
//   cluster_model model(ExplorationSettings("taker-waits"), seed);
#pragma once

#include <string_view>

#include "sessions/cluster_model.h"

namespace plantaindale::sessions {

// Adds restores of the platform from older copies to the faults.
inline constexpr std::string_view kRestores = "restores";

// `aRule` is a rule name of fault_exploration.cc, `drift-margin`, which also
// raises the clock drift to 10 %, or kRestores. If it is empty or unknown, no
// rule is disabled.
model_settings
ExplorationSettings(std::string_view aRule);

} // namespace plantaindale::sessions
