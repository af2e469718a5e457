// Simulates a cluster under random faults with COUNT seeds, each for SECONDS of
// virtual time, and prints the log of the first run in which a shard had two
// owners. RULE names a lease rule to disable, "" for none; see
// fault_exploration.h.
//
//   explore FIRST_SEED COUNT SECONDS [RULE [NODES]]
#include <cstdlib>
#include <iostream>

#include "sessions/fault_exploration.h"

int
main(int argc, char** argv)
{
  using namespace plantaindale::sessions;
  if (argc < 4) {
    std::cerr << "usage: explore FIRST_SEED COUNT SECONDS [RULE [NODES]]\n";
    return 2;
  }
  model_settings settings = ExplorationSettings(argc > 4 ? argv[4] : "");
  if (argc > 5) {
    settings.mNodes = std::atoi(argv[5]);
  }
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::uint64_t count = std::strtoull(argv[2], nullptr, 10);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    cluster_model model(settings, seed);
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
