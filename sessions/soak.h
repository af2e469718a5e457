// A soak test of the real programs under load with random, overlapping faults:
// proxies delay, block or reset connections; processes are paused, killed,
// stopped and restarted; backend servers end under a request that ends each
// server that runs it, and are replaced by one at their address; failure
// domains are evacuated; the store is slow, loses responses or is unavailable.
// Some callers leave at random moments. After all faults end, the cluster must
// recover, and the requests that callers observed must match the runs that
// backend servers logged.
//
//   soak_result result = RunSoak({ .mSeed = 7 });
//   for (const std::string& failure : result.mFailures) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plantaindale::sessions {

struct soak_settings
{
  std::uint64_t mSeed = 1;
  int mNodes = 6;
  int mSteps = 12; // faults to inject
  int mBasePort = 26000;
};

struct soak_result
{
  std::vector<std::string> mFailures; // failed checks, one line each
  std::vector<std::string> mEventLog; // injected faults, in order
  std::int64_t mAnswered = 0;
  std::int64_t mNotAnswered = 0;
};

soak_result
RunSoak(const soak_settings& aSettings);

} // namespace plantaindale::sessions
