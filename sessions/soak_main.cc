// Runs the soak test with COUNT seeds and prints each seed's result and, if a
// check failed, the failures and the injected faults. Exits with 1 if a check
// failed.
//
//   soak FIRST_SEED COUNT [STEPS]
#include <cstdlib>
#include <iostream>

#include "sessions/soak.h"

namespace {

// Adjacent seeds use separate ports, so that they can run concurrently.
constexpr std::uint64_t kPortRanges = 6;
constexpr int kPortsPerSeed = 1000;

} // namespace

int
main(int argc, char** argv)
{
  using namespace plantaindale::sessions;
  if (argc < 3) {
    std::cerr << "usage: soak FIRST_SEED COUNT [STEPS]\n";
    return 2;
  }
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::uint64_t count = std::strtoull(argv[2], nullptr, 10);
  bool has_failed = false;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    soak_settings settings;
    settings.mSeed = seed;
    settings.mBasePort += static_cast<int>(seed % kPortRanges) * kPortsPerSeed;
    settings.mSteps = argc > 3 ? std::atoi(argv[3]) : settings.mSteps;
    const soak_result result = RunSoak(settings);
    std::cout << "seed " << seed << ": " << result.mFailures.size()
              << " faults, answered " << result.mAnswered << ", not "
              << result.mNotAnswered << std::endl;
    for (const std::string& failure : result.mFailures) {
      std::cout << "  FAULT " << failure << "\n";
    }
    for (const std::string& line : result.mEventLog) {
      std::cout << (result.mFailures.empty() ? "" : "  " + line + "\n");
    }
    has_failed = has_failed || !result.mFailures.empty();
  }
  return has_failed ? 1 : 0;
}
