// Formats the state of a node as human-readable JSON for `plantaindale dump`.
//
//   std::string text = PrettyPrint(DumpControlState(machine, now));
#pragma once

#include "plantaindale/node/control_transport.h"
#include "plantaindale/node/node_machine.h"
#include "plantaindale/node/traffic_service.h"
#include <boost/json/value.hpp>

namespace plantaindale {

boost::json::value
DumpControlState(const node_machine& aMachine, instant aNow);

boost::json::value
DumpTrafficState(const traffic_state& aState);

boost::json::value
DumpTransport(const transport_counts& aCounts);

// Serializes `aValue` with indentation and one object member per line.
std::string
PrettyPrint(const boost::json::value& aValue);

} // namespace plantaindale
