// soak runs the real programs under load and faults them from outside, at
// random by a seed: links are delayed, silenced, cut one way or reset by
// proxies, processes paused, killed, stopped in order and started again, the
// store made slow, deaf or absent. Faults come in series and overlap. Then all
// is healed, and what callers saw is compared with what servers ran.
//
//   soak_result result = RunSoak({ .mSeed = 7 });
//   for (const std::string& fault : result.mFaults) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plantaindale::sessions {

struct soak_settings
{
  std::uint64_t mSeed = 1;
  int mNodes = 6;
  int mSteps = 12; // faults, one after the other or overlapping
  int mBasePort = 26000;
};

struct soak_result
{
  std::vector<std::string> mFailures; // broken promises, one line each
  std::vector<std::string> mEventLog; // what was done, in order
  std::int64_t mAnswered = 0;
  std::int64_t mNotAnswered = 0;
};

soak_result
RunSoak(const soak_settings& aSettings);

} // namespace plantaindale::sessions
