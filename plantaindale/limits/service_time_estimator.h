// service_time_estimator estimates how long requests take at the backend
// server, as an exponentially weighted moving average per route and over all
// routes.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Not thread-safe.
class service_time_estimator
{
public:
  void Add(std::string_view aRoute, duration aTook);

  // Overall returns zero before the first Add; ForRoute falls back to Overall
  // for an unknown route.
  duration Overall() const { return mOverall; }
  duration ForRoute(std::string_view aRoute) const;

private:
  duration mOverall{ 0 };
  std::map<std::string, duration, std::less<>> mByRoute;
};

} // namespace plantaindale
