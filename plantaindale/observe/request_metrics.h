// request_metrics counts requests by their end and gathers how long they took,
// by Boost.Accumulators; written out as Prometheus text.
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

// Belongs to one thread.
class request_metrics
{
public:
  request_metrics();

  // Commands.
  void Count(outcome_kind::type aKind, duration aTook);
  void CountMalformed() { ++mMalformed; }

  // Queries.
  std::string ToPrometheus() const;
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
  accumulator mDurationSeconds;
};

} // namespace plantaindale
