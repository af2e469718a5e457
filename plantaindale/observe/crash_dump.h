// Formats the requests under which backend servers have ended, for operators.
//
//   std::string text = PrettyPrint(DumpCrashes(control.Ledger(), now));
#pragma once

#include <string>

#include "plantaindale/crashes/crash_control.h"
#include <boost/json/value.hpp>

namespace plantaindale {

// One object for each request, those that are refused first.
boost::json::value
DumpCrashes(const crash_ledger& aLedger, instant aNow);

// The counters in the Prometheus text format.
std::string
CrashMetrics(const crash_control& aControl);

} // namespace plantaindale
