// work_metrics counts what a thread does and how long each kind of work takes,
// so that a late thread can be told from a late link.
//
//   {
//     const work_metrics::timer timed(metrics, "publish");
//     Publish();
//   }
//   std::string text = metrics.ToPrometheus("control");
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Not thread-safe.
class work_metrics
{
public:
  struct totals
  {
    std::int64_t mCount = 0;
    duration mElapsed{ 0 };
    duration mLongest{ 0 };
  };

  // Records the time from its construction to its destruction.
  class timer
  {
  public:
    timer(work_metrics& aMetrics, std::string_view aWork)
      : mMetrics(aMetrics)
      , mWork(aWork)
      , mStart(boot_clock::now())
    {
    }
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer() { mMetrics.Record(mWork, boot_clock::now() - mStart); }

  private:
    work_metrics& mMetrics;
    std::string_view mWork;
    instant mStart;
  };

  // `aWork` must be a literal: the name is not copied.
  void Record(std::string_view aWork, duration aElapsed);

  const std::map<std::string_view, totals>& Totals() const { return mTotals; }
  // In the Prometheus text format, labelled with the thread's name.
  std::string ToPrometheus(std::string_view aThread) const;

private:
  std::map<std::string_view, totals> mTotals;
};

} // namespace plantaindale
