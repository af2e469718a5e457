// Formats the state of a node as human-readable JSON for `plantaindale dump`.
//
//   std::string text = PrettyPrint(DumpControlState(machine, now));
#pragma once

#include "plantaindale/node/control_transport.h"
#include "plantaindale/node/node_machine.h"
#include "plantaindale/node/traffic_service.h"
#include "plantaindale/observe/thread_monitor.h"
#include "plantaindale/observe/work_metrics.h"
#include <boost/json/value.hpp>

namespace plantaindale {

boost::json::value
DumpControlState(const node_machine& aMachine, instant aNow);

boost::json::value
DumpTrafficState(const traffic_state& aState);

boost::json::value
DumpTransport(const transport_counts& aCounts);

boost::json::value
DumpWork(const work_metrics& aWork, const thread_monitor& aMonitor);

// Serializes `aValue` with indentation and one object member per line.
std::string
PrettyPrint(const boost::json::value& aValue);

} // namespace plantaindale
