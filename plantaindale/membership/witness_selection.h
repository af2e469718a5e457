// Selects the witnesses of a node's lease: three other nodes, spread over as
// many failure domains as possible. Current witnesses are kept where possible.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/membership/cluster_view.h"

namespace plantaindale {

// Number of witnesses of one lease. With fewer other nodes, the lease is
// renewed by writes of the node record in the platform.
inline constexpr std::size_t kWitnessCount = 3;

// Selects witnesses for the node `aSelf`, in ascending order. Nodes in
// `aUnresponsive` are selected only if too few others are available. Returns an
// empty list if there are fewer than kWitnessCount candidates.
std::vector<node_identity>
SelectWitnesses(const cluster_view& aView,
                std::string_view aSelf,
                const std::vector<node_identity>& aCurrentWitnesses,
                const std::set<node_identity>& aUnresponsive);

// Rendezvous hash: orders nodes for a subject identically on every node.
std::uint64_t
RendezvousScore(std::string_view aSubject, std::string_view aNode);

} // namespace plantaindale
