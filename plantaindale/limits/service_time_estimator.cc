#include "plantaindale/limits/service_time_estimator.h"

namespace plantaindale {
namespace {

// Share of the newest request in the mean.
constexpr double kSmoothingFactor = 0.05;
// Routes come and go with configurations; beyond this all are learnt anew.
constexpr std::size_t kMaxRoutes = 4096;

void
UpdateMean(duration aNewest, duration& aMean)
{
  const double newest = static_cast<double>(aNewest.count());
  const double mean = static_cast<double>(aMean.count());
  const double mixed = mean + kSmoothingFactor * (newest - mean);
  aMean = duration(static_cast<std::int64_t>(mixed));
}

} // namespace

void
service_time_estimator::Add(std::string_view aRoute, duration aTook)
{
  UpdateMean(aTook, mOverall);
  const auto found = mByRoute.find(aRoute);
  if (found != mByRoute.end()) {
    UpdateMean(aTook, found->second);
    return;
  }
  if (mByRoute.size() >= kMaxRoutes) {
    mByRoute.clear();
  }
  mByRoute.emplace(aRoute, aTook);
}

duration
service_time_estimator::ForRoute(std::string_view aRoute) const
{
  const auto found = mByRoute.find(aRoute);
  return found == mByRoute.end() ? mOverall : found->second;
}

} // namespace plantaindale
