// A drill of the platform's store, in which the `Store-Era` of the first life
// is 0. See claim.txt of the case.
//
//   first_era FOLDER RECORD   FIRST_ERA=1 begins with another value
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
  const int first_era = std::getenv("FIRST_ERA") ? std::atoi(std::getenv("FIRST_ERA")) : 0;
  const string store_address = MachineAddress(0) + ":8309";
  platform store(store_address, first_era);
  key_history keys;
  std::vector<std::unique_ptr<node>> nodes;
  gNodes = &nodes;
  std::vector<std::unique_ptr<server>> servers;
  store.Put("config", "main", Configuration(7, "board", { "crier" }));
  const auto add = [&](const string& aService) {
    const int number = static_cast<int>(nodes.size()) + 1;
    const string zone = string("khangai-") + "abc"[number % 3];
    nodes.push_back(
      std::make_unique<node>(number, zone, aService, store_address, folder));
    server_settings settings;
    settings.mNumber = number;
    settings.mService = aService;
    settings.mZone = zone;
    settings.mAddress = nodes.back()->Application();
    settings.mControl = nodes.back()->Control();
    settings.mIsSharded = aService == "board";
    servers.push_back(std::make_unique<server>(settings, keys));
    nodes.back()->Start();
  };
  for (const char* service : { "board", "board", "crier", "crier", "crier" }) {
    add(service);
  }
  const auto all_ready = [&] {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& aNode) {
      return aNode->IsReady();
    });
  };
  const auto serves = [&](int aEvery) {
    for (int key = 0; key < kKeys; key += aEvery) {
      if (Ask(*nodes[2], "board", "safe", key).mStatus != 200) {
        return false;
      }
    }
    return true;
  };
  Await("ready nodes", 15, all_ready);
  Await("an owner for every key", 20, [&] { return serves(4096); });
  Sleep(2);
  store.Copy();
  // Planned: a third server of the service is added.
  add("board");
  Await("the new node", 15, all_ready);
  // Clients use keys all the time.
  std::atomic<bool> is_over = false;
  std::vector<std::thread> clients;
  for (int client = 0; client < 6; ++client) {
    clients.emplace_back([&, client] {
      for (int n = client; !is_over; n += 7) {
        const int key = (n * 2111) % kKeys;
        const message answer = Ask(*nodes[static_cast<std::size_t>(n) % nodes.size()],
                                   "board",
                                   "safe",
                                   key);
        if (answer.mStatus != 200) {
          Note("client: key " + std::to_string(key) + " gets " +
               std::to_string(answer.mStatus));
        }
        Sleep(0.03);
      }
    });
  }
  const auto held_by = [&](int aServer) {
    int held = 0;
    for (int key = 0; key < kKeys; key += 32) {
      const auto& grants = keys.Grants(key);
      held += !grants.empty() && grants.back().mServer == aServer ? 1 : 0;
    }
    return held;
  };
  Await("keys at the new server", 30, [&] { return held_by(6) > 20; });
  Sleep(1);
  if (HasTrouble()) {
    store.Restore(0.5);
    store.Put("config", "main", Configuration(7, "board", { "crier" }));
  }
  Sleep(3);
  // Planned: nodes 1 and 2 are stopped and started, one after the other.
  for (int number : { 0, 1 }) {
    nodes[static_cast<std::size_t>(number)]->Stop();
    Sleep(0.5);
    nodes[static_cast<std::size_t>(number)]->Start();
    Await("the restarted node", 15, all_ready);
    Sleep(8);
  }
  is_over = true;
  for (auto& client : clients) {
    client.join();
  }
  const owner_findings found = CheckOwners(keys);
  Finish(found.IsBroken() ? 1 : 0, found.ToText());
}
