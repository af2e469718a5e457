// Servers of a service break off a part of their answers while requesters send
// several requests on a kept connection without waiting for the answers in
// between. See claim.txt of the case.
#include <boost/json/src.hpp>

#include "rig.hpp"

using namespace rig;

namespace {

constexpr int kInARow = 8;            // requests that a client sends at once
constexpr double kBrokenAnswers = .02; // part of the answers of half the servers
constexpr int kClients = 6;
constexpr int kSpells = 7;           // of broken answers
constexpr double kSpell = 5;         // seconds
constexpr double kPause = 1;         // seconds between two spells

struct counts
{
  std::atomic<int> mAnswered = 0;
  std::atomic<int> mClosed = 0; // connections that the node closed early
  // Of these, requests without any part of an answer: those that a sound server
  // ran, that a server with the disruption ran, and that none ran.
  std::atomic<int> mLostAtSound = 0, mLostAtOther = 0, mNotPassedOn = 0;
  std::atomic<int> mForeign = 0;
};

} // namespace

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
  store.Put("config", "main", Configuration(7, "board", { "rolls" }));
  for (const char* service : { "rolls", "rolls", "rolls", "rolls", "board" }) {
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
    settings.mSlots = 12;
    settings.mAnswerBytes = 40000;
    settings.mIsSharded = string(service) == "board";
    servers.push_back(std::make_unique<server>(settings, keys));
    nodes.back()->Start();
  }
  Await("ready nodes", 15, [&] {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& aNode) {
      return aNode->IsReady();
    });
  });
  Await("an answer", 15, [&] {
    return Ask(*nodes[4], "rolls", "safe", 0).mStatus == 200;
  });
  Sleep(4); // longer than stableWindow
  counts seen;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&] {
      std::unique_ptr<connection> to;
      while (!is_over) {
        if (to == nullptr && (to = Connect(nodes[4]->Outbound())) == nullptr) {
          Sleep(0.1);
          continue;
        }
        std::vector<string> ids;
        string bytes;
        for (int i = 0; i < kInARow; ++i) {
          ids.push_back(NextAttemptId());
          bytes += "GET /rolls/download/1 HTTP/1.1\r\nHost: notices.example\r\n"
                   "X-Plantaindale-Attempt-Id: " +
                   ids.back() + "\r\nX-Plantaindale-Deadline-Remaining-Ms: 1500\r\n\r\n";
        }
        to->Send(bytes);
        std::size_t answered = 0;
        bool is_open = true;
        while (answered < ids.size() && is_open) {
          message answer;
          is_open = to->Read(answer, 2.5);
          if (answer.mStatus == 0) {
            break;
          }
          if (answer.mStatus == 200 &&
              answer.Field("X-Plantaindale-Attempt-Id") != ids[answered]) {
            ++seen.mForeign;
          }
          Note("client: " + ids[answered] + " gets " + std::to_string(answer.mStatus) +
               (is_open ? "" : ", broken off"));
          ++answered;
          seen.mAnswered += is_open ? 1 : 0;
          is_open = is_open && answer.Field("Connection") != "close";
        }
        if (answered == ids.size() && is_open) {
          Sleep(0.05);
          continue;
        }
        ++seen.mClosed;
        to.reset();
        Sleep(0.3); // what was passed on has begun by then
        for (std::size_t i = answered; i < ids.size(); ++i) {
          const int at = keys.ServerOf(ids[i]);
          (at == 0               ? seen.mNotPassedOn
           : at == 1 || at == 2 ? seen.mLostAtOther
                                : seen.mLostAtSound)++;
          Note("client: " + ids[i] + " gets no answer on the closed connection" +
               (at == 0 ? ", was not passed on"
                        : ", was passed on to server " + std::to_string(at)));
        }
      }
    });
  }
  for (int spell = 0; spell < kSpells; ++spell) {
    const double share = HasTrouble() ? kBrokenAnswers : 0;
    Note("servers 1 and 2: break off " + std::to_string(share) + " of their answers");
    servers[0]->mBrokenAnswers = share;
    servers[1]->mBrokenAnswers = share;
    Sleep(kSpell);
    Note("servers 1 and 2: sound");
    servers[0]->mBrokenAnswers = 0;
    servers[1]->mBrokenAnswers = 0;
    Sleep(kPause);
  }
  is_over = true;
  for (auto& client : clients) {
    client.join();
  }
  const int broken = servers[0]->BrokenAnswers() + servers[1]->BrokenAnswers();
  // LOST: passed on to a sound server, and the connection closed without an
  // answer, more than three times.
  Finish(seen.mLostAtSound > 3 ? 1 : 0,
         std::to_string(seen.mAnswered) + " answered, " + std::to_string(broken) +
           " answers broken off by servers, " + std::to_string(seen.mClosed) +
           " connections closed early; requests without an answer there: " +
           std::to_string(seen.mLostAtSound) + " passed on to sound servers, " +
           std::to_string(seen.mLostAtOther) + " to the others, " +
           std::to_string(seen.mNotPassedOn) + " not passed on; " +
           std::to_string(seen.mForeign) + " foreign answers");
}
