// run_times keeps how long requests of each route take at the backend server,
// as means with decay.
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

  // Zero while nothing is known.
  duration Overall() const { return mOverall; }
  duration ForRoute(std::string_view aRoute) const;

private:
  duration mOverall{ 0 };
  std::map<std::string, duration, std::less<>> mByRoute;
};

} // namespace plantaindale
