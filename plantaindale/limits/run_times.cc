#include "plantaindale/limits/run_times.h"

namespace plantaindale {
namespace {

// Share of the newest request in the mean.
constexpr double kNewestShare = 0.05;
// Routes come and go with configurations; beyond this all are learnt anew.
constexpr std::size_t kMostRoutes = 4096;

void
Mix(duration aNewest, duration& aMean)
{
  const double newest = static_cast<double>(aNewest.count());
  const double mean = static_cast<double>(aMean.count());
  const double mixed = mean + kNewestShare * (newest - mean);
  aMean = duration(static_cast<std::int64_t>(mixed));
}

} // namespace

void
run_times::Add(std::string_view aRoute, duration aTook)
{
  Mix(aTook, mOfAll);
  const auto found = mByRoute.find(aRoute);
  if (found != mByRoute.end()) {
    Mix(aTook, found->second);
    return;
  }
  if (mByRoute.size() >= kMostRoutes) {
    mByRoute.clear();
  }
  mByRoute.emplace(aRoute, aTook);
}

duration
run_times::Of(std::string_view aRoute) const
{
  const auto found = mByRoute.find(aRoute);
  return found == mByRoute.end() ? mOfAll : found->second;
}

} // namespace plantaindale
