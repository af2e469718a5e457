#include "plantaindale/observe/work_metrics.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace plantaindale {

void
work_metrics::Record(std::string_view aWork, duration aElapsed)
{
  totals& total = mTotals[aWork];
  ++total.mCount;
  total.mElapsed += aElapsed;
  total.mLongest = std::max(total.mLongest, aElapsed);
}

std::string
work_metrics::ToPrometheus(std::string_view aThread) const
{
  std::string text;
  for (const auto& [work, total] : mTotals) {
    const std::string labels = absl::StrCat("{thread=\"",
                                            std::string(aThread),
                                            "\",work=\"",
                                            std::string(work),
                                            "\"} ");
    const auto seconds = [](duration aTime) {
      return std::chrono::duration<double>(aTime).count();
    };
    absl::StrAppend(&text,
                    "plantaindale_work_total",
                    labels,
                    total.mCount,
                    "\nplantaindale_work_seconds_total",
                    labels,
                    seconds(total.mElapsed),
                    "\nplantaindale_work_seconds_max",
                    labels,
                    seconds(total.mLongest),
                    "\n");
  }
  return text;
}

} // namespace plantaindale
