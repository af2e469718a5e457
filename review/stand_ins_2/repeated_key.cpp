// Requesters that repeat an order at once send the same Idempotency-Key with
// each attempt. See claim.txt of the case.
#include <boost/json/src.hpp>

#include "rig.hpp"

using namespace rig;

int
main(int argc, char** argv)
{
  if (argc != 3) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const string folder = argv[1]; // for settings and logs
  record lines(argv[2]);
  gRecord = &lines;
  const string store_address = MachineAddress(0) + ":8309";
  platform store(store_address, 1);
  key_history keys;
  std::vector<std::unique_ptr<node>> nodes;
  gNodes = &nodes;
  std::vector<std::unique_ptr<server>> servers;
  store.Put("config", "main", Configuration(7, "board", { "crier" }));
  for (const char* service : { "board", "board", "crier", "crier" }) {
    const int number = static_cast<int>(nodes.size()) + 1;
    const string zone = string("khangai-") + "abc"[number % 3];
    nodes.push_back(
      std::make_unique<node>(number, zone, service, store_address, folder));
    server_settings settings;
    settings.mNumber = number;
    settings.mService = service;
    settings.mZone = zone;
    settings.mAddress = nodes.back()->Application();
    settings.mControl = nodes.back()->Control();
    settings.mIsSharded = string(service) == "board";
    servers.push_back(std::make_unique<server>(settings, keys));
    nodes.back()->Start();
  }
  Await("ready nodes", 15, [&] {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& aNode) {
      return aNode->IsReady();
    });
  });
  Await("an owner for every key", 20, [&] {
    for (int key = 0; key < kKeys; key += 4096) {
      if (Ask(*nodes[2], "board", "safe", key).mStatus != 200) {
        return false;
      }
    }
    return true;
  });
  Sleep(4); // longer than stableWindow
  int sent = 0, foreign = 0, not_run = 0;
  for (int order = 0; order < 40; ++order) {
    const int key = order * 1601;
    const string header = "Idempotency-Key: order-" + std::to_string(order) + "\r\n";
    const int attempts = HasTrouble() ? 4 : 1;
    for (int attempt = 0; attempt < attempts; ++attempt) {
      const string id = NextAttemptId();
      const message answer = Ask(*nodes[static_cast<std::size_t>(attempt % 2) + 2],
                                 "board",
                                 "unsafe",
                                 key,
                                 "order",
                                 id,
                                 header);
      ++sent;
      const string got = answer.Field("X-Plantaindale-Attempt-Id");
      const bool is_foreign = answer.mStatus / 100 == 2 && got != id;
      foreign += is_foreign ? 1 : 0;
      not_run += is_foreign && keys.RunsOf(id) == 0 ? 1 : 0;
      Note("client: " + id + " order " + std::to_string(order) + " gets " +
           std::to_string(answer.mStatus) + " of " + got + ", runs " +
           std::to_string(keys.RunsOf(id)));
    }
  }
  // MIXED: a success that belongs to another request.
  Finish(foreign > 0 ? 1 : 0,
         std::to_string(sent) + " requests, " + std::to_string(foreign) +
           " get the answer of another one, " + std::to_string(not_run) +
           " of them without having run");
}
