// Chooses the witnesses of a node's lease: three other nodes in as many
// failure domains as there are, the same ones for as long as they serve.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/membership/cluster_view.h"

namespace plantaindale {

// Witnesses of one lease. Fewer other nodes than this: the platform vouches.
inline constexpr std::size_t kWitnessCount = 3;

// `aPresent` are the witnesses now; those in `aSilent` are
// replaced, as far as others are there. Empty
// when there are too few nodes.
std::vector<node_identity>
SelectWitnesses(const cluster_view& aView,
                std::string_view aSelf,
                const std::vector<node_identity>& aCurrentWitnesses,
                const std::set<node_identity>& aUnresponsive);

// Orders nodes for a subject in a way that all nodes agree on.
std::uint64_t
RendezvousScore(std::string_view aSubject, std::string_view aNode);

} // namespace plantaindale
