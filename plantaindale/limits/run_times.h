// run_times keeps how long requests of each route take at the backend server,
// as means with decay.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Not thread-safe.
class run_times
{
public:
  void Add(std::string_view aRoute, duration aTook);

  // Zero while nothing is known.
  duration OfAll() const { return mOfAll; }
  duration Of(std::string_view aRoute) const;

private:
  duration mOfAll{ 0 };
  std::map<std::string, duration, std::less<>> mByRoute;
};

} // namespace plantaindale
