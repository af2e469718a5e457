// Simulates a cluster under random faults with COUNT seeds, each for SECONDS of
// virtual time, and prints the log of the first run in which a shard had two
// owners. RULE names a lease rule to disable; see fault_exploration.h.
//
//   explore FIRST_SEED COUNT SECONDS [RULE]
#include <cstdlib>
#include <iostream>

#include "sessions/fault_exploration.h"

int
main(int argc, char** argv)
{
  using namespace plantaindale::sessions;
  if (argc < 4) {
    std::cerr << "usage: explore FIRST_SEED COUNT SECONDS [RULE]\n";
    return 2;
  }
  const std::string rule = argc > 4 ? argv[4] : "";
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::uint64_t count = std::strtoull(argv[2], nullptr, 10);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    cluster_model model(ExplorationSettings(rule), seed);
    model.Run(std::chrono::seconds(std::atoi(argv[3])));
    if (!model.Violation().empty()) {
      std::cout << "seed " << seed << ": " << model.Violation() << "\n"
                << model.Log();
      return 1;
    }
  }
  std::cout << count << " histories, no shard with two owners\n";
  return 0;
}
