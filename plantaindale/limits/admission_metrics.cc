#include "plantaindale/limits/admission_metrics.h"

#include "absl/strings/str_cat.h"

namespace plantaindale {

std::string_view
ToText(turn_away_reason aReason)
{
  switch (aReason) {
    case turn_away_reason::kNoRoom:
      return "no_room";
    case turn_away_reason::kQueueFull:
      return "queue_full";
    case turn_away_reason::kDisplaced:
      return "displaced";
    case turn_away_reason::kExpired:
      return "expired";
  }
  return "?";
}

std::int64_t
admission_metrics::TurnedAway(turn_away_reason aReason, int aPriority) const
{
  const auto found = mTurnedAway.find({ aReason, aPriority });
  return found == mTurnedAway.end() ? 0 : found->second;
}

std::string
admission_metrics::ToPrometheus() const
{
  std::string text = "# TYPE plantaindale_turned_away_total counter\n";
  for (const auto& [kind, count] : mTurnedAway) {
    absl::StrAppend(&text,
                    "plantaindale_turned_away_total{reason=\"",
                    std::string(ToText(kind.first)),
                    "\",priority=\"",
                    kind.second,
                    "\"} ",
                    count,
                    "\n");
  }
  const std::chrono::duration<double> seconds = mQueuedFor;
  absl::StrAppend(&text,
                  "# TYPE plantaindale_withdrawn_total counter\n",
                  "plantaindale_withdrawn_total ",
                  mWithdrawn,
                  "\n",
                  "# TYPE plantaindale_queue_seconds summary\n",
                  "plantaindale_queue_seconds_sum ",
                  seconds.count(),
                  "\nplantaindale_queue_seconds_count ",
                  mQueued,
                  "\n");
  return text;
}

} // namespace plantaindale
