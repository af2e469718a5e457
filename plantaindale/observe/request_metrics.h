// request_metrics counts requests by outcome, estimates quantiles of their
// duration with Boost.Accumulators, and exports both in the Prometheus text
// format.
//
//   metrics.Count(outcome_kind::answered, elapsed);
//   std::string text = metrics.ToPrometheus();
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/request/request_result.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace plantaindale {

// Not thread-safe.
class request_metrics
{
public:
  request_metrics();

  // Records a finished request.
  void Count(const request_result& aResult, duration aElapsed);
  // Records a request that could not be parsed.
  void CountMalformed() { ++mMalformed; }
  // Records a request that was read while others of its connection were
  // outstanding.
  void CountPipelined() { ++mPipelined; }

  std::string ToPrometheus() const;
  // Returns the number of recorded requests with the outcome `aKind`.
  std::int64_t Count(outcome_kind::type aKind) const;

private:
  using accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;

  std::array<std::int64_t, 4> mCountByOutcome{};
  std::int64_t mMalformed = 0;
  std::int64_t mPipelined = 0;
  std::int64_t mRefusedForCrashes = 0;
  accumulator mDurationSeconds;
};

} // namespace plantaindale
