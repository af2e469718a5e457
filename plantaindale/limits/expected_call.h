// expected_call is the number of calls that a run makes to a service.
#pragma once

#include <string>

namespace plantaindale {

struct expected_call
{
  std::string mService;
  double mCount = 0;
};

} // namespace plantaindale
