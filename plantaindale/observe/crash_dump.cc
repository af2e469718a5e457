#include "plantaindale/observe/crash_dump.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

std::int64_t
Seconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aDuration).count();
}

json::value
DumpEnds(const crash_suspect& aSuspect, instant aNow)
{
  json::array ends;
  for (const auto& [server, end] : aSuspect.Ends()) {
    ends.push_back(
      json::value({ { "instance", server.mInstance },
                    { "started_at", server.mStartedAt },
                    { "ended_s_ago", Seconds(aNow - end.mEndedAt) },
                    { "ran_ms",
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                        end.mEndedAt - end.mBeganAt)
                        .count() },
                    { "cleared", end.mIsCleared } }));
  }
  return ends;
}

json::value
DumpSuspect(const request_fingerprint& aFingerprint,
            const crash_suspect& aSuspect,
            instant aNow)
{
  const instant refused_until = aSuspect.RefusedUntil();
  const bool is_refused = aNow < refused_until;
  const int counted = aSuspect.CountedEnds();
  return { { "request", ToText(aFingerprint) },
           { "state",
             is_refused    ? "refused"
             : counted > 0 ? "suspect"
                           : "cleared" },
           { "refused_for_s", is_refused ? Seconds(refused_until - aNow) : 0 },
           { "counted_ends", counted },
           { "service", aSuspect.Service() },
           { "target", aSuspect.Target() },
           { "ends", DumpEnds(aSuspect, aNow) } };
}

} // namespace

json::value
DumpCrashes(const crash_ledger& aLedger, instant aNow)
{
  using item = const crash_ledger::suspect_map::value_type*;
  std::vector<item> items;
  for (const auto& suspect : aLedger.Suspects()) {
    items.push_back(&suspect);
  }
  const auto rank = [&](item aItem) {
    return std::tuple(aNow < aItem->second.RefusedUntil(),
                      aItem->second.CountedEnds(),
                      aItem->second.LastEnd());
  };
  std::stable_sort(items.begin(), items.end(), [&](item aA, item aB) {
    return rank(aA) > rank(aB);
  });
  json::array dumped;
  for (const item suspect : items) {
    dumped.push_back(DumpSuspect(suspect->first, suspect->second, aNow));
  }
  return dumped;
}

std::string
CrashMetrics(const crash_control& aControl)
{
  const auto& standings = aControl.Ledger().Standings();
  const auto refused =
    std::count_if(standings.begin(), standings.end(), [](const auto& aItem) {
      return aItem.second.mRefusedUntil != kNever;
    });
  return absl::StrCat("plantaindale_server_ends_total ",
                      aControl.Counts().mServerEnds,
                      "\nplantaindale_crash_verdicts_total ",
                      aControl.Counts().mRefusals,
                      "\nplantaindale_crash_suspects ",
                      standings.size(),
                      "\nplantaindale_crash_refused_requests ",
                      refused,
                      "\n");
}

} // namespace plantaindale
