#include "plantaindale/observe/request_metrics.h"

#include <string_view>

#include "absl/strings/str_cat.h"

namespace plantaindale {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.99, 0.999 };
constexpr std::array<const char*, 4> kOutcomeNames = { "answered",
                                                       "not_run",
                                                       "unknown",
                                                       "broken" };

} // namespace

request_metrics::request_metrics()
  : mDurationSeconds(acc::extended_p_square_probabilities = kQuantiles)
{
}

void
request_metrics::Count(const request_result& aResult, duration aElapsed)
{
  ++mCountByOutcome[static_cast<std::size_t>(aResult.mKind)];
  mRefusedForCrashes += aResult.mStep == kCrashesServersStep ? 1 : 0;
  mDurationSeconds(std::chrono::duration<double>(aElapsed).count());
}

std::int64_t
request_metrics::Count(outcome_kind::type aKind) const
{
  return mCountByOutcome[static_cast<std::size_t>(aKind)];
}

std::string
request_metrics::ToPrometheus() const
{
  std::string text = "# TYPE plantaindale_requests_total counter\n";
  for (std::size_t kind = 0; kind < mCountByOutcome.size(); ++kind) {
    absl::StrAppend(&text,
                    "plantaindale_requests_total{outcome=\"",
                    kOutcomeNames[kind],
                    "\"} ",
                    mCountByOutcome[kind],
                    "\n");
  }
  absl::StrAppend(&text,
                  "# TYPE plantaindale_malformed_requests_total counter\n",
                  "plantaindale_malformed_requests_total ",
                  mMalformed,
                  "\n# TYPE plantaindale_pipelined_requests_total counter\n",
                  "plantaindale_pipelined_requests_total ",
                  mPipelined,
                  "\n# TYPE plantaindale_crash_refusals_total counter\n",
                  "plantaindale_crash_refusals_total ",
                  mRefusedForCrashes,
                  "\n# TYPE plantaindale_request_seconds summary\n");
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    absl::StrAppend(&text,
                    "plantaindale_request_seconds{quantile=\"",
                    kQuantiles[i],
                    "\"} ",
                    acc::extended_p_square(mDurationSeconds)[i],
                    "\n");
  }
  const auto count = acc::count(mDurationSeconds);
  absl::StrAppend(&text,
                  "plantaindale_request_seconds_sum ",
                  acc::mean(mDurationSeconds) * static_cast<double>(count),
                  "\nplantaindale_request_seconds_count ",
                  count,
                  "\n");
  return text;
}

} // namespace plantaindale
