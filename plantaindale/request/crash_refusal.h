// CrashRefusal is the result of a request that must not run because backend
// servers have ended under it. The node where it entered and the node of the
// server both ask, since either may hear of a verdict first.
//
//   if (auto refusal = CrashRefusal(routing_state, head)) {
//     return *refusal;
//   }
#pragma once

#include <optional>

#include "generated/plantaindale_types.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

class routing_state;

// None if the request may run.
std::optional<request_result>
CrashRefusal(const routing_state& aRoutingState,
             const protocol::request_head& aHead);

// Whether one more end would get the request a verdict.
bool
IsNearRefusal(const routing_state& aRoutingState,
              const protocol::request_head& aHead);

// Logs a refusal at the node where the request entered.
void
LogCrashRefusal(const protocol::request_head& aHead,
                const request_result& aResult);

} // namespace plantaindale
