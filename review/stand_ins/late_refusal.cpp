// Case: servers shed some requests, and a second copy of some answers arrives
// late. Checks that a request whose run may not be repeated runs once at most,
// and that none that ran was answered as one that did not run.
#include <random>
#include <utility>

#include "deployment.hpp"

using namespace review;

namespace {

constexpr double kShedShare = 0.55;  // srv_grey "shed all", site file
constexpr double kExtraShare = 0.03; // garble "extra late", site file
constexpr double kShedSeconds = 8.5;
constexpr double kExtraSeconds = 5.0;
constexpr int kRounds = 10; // each disruption comes more than once
constexpr double kRoundSeconds = 9.5;
constexpr int kMachines = 3;
constexpr int kCallers = 24;
constexpr milliseconds kWork{ 60 };
constexpr int kMaxPauseMs = 700;

struct outcome
{
  int mRuns = 0;
  int mStatus = 0;
};

class play
{
public:
  explicit play(const char* aRecord)
    : mRecord(aRecord)
  {
  }

  void Run()
  {
    work_folder folder;
    const int store_port = FreePort();
    store platform(store_port);
    std::vector<std::unique_ptr<machine>> machines;
    const char* services[] = { "orders", "stock", "tracking" };
    for (int i = 0; i < kMachines; ++i) {
      machines.push_back(std::make_unique<machine>());
      machines.back()->mName = "n" + std::to_string(i + 1);
      machines.back()->mZone = "zone-" + std::to_string(i + 1);
      machines.back()->mService = services[i];
    }
    platform.PutConfiguration(
      R"({"version":"r1","routes":{"r-order":{"host":"shop.example",)"
      R"("pathPrefix":"/order/","kind":"unsafe","timeout":"2000ms",)"
      R"("targetLatency":"600ms","priority":1,"service":"orders",)"
      R"("maxAttempts":3}},"services":{"orders":{"healthCheckPath":"/health",)"
      R"("maxConnections":110},"stock":{"healthCheckPath":"/health",)"
      R"("maxConnections":110},"tracking":{"healthCheckPath":"/health",)"
      R"("maxConnections":110}},"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
      R"("idleTimeout":"15000ms"}})");
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < kMachines; ++i) {
      nodes.push_back(
        std::make_unique<node>(*machines[i], store_port, folder.Path()));
      servers.push_back(std::make_unique<server>(
        *machines[i],
        "i-" + std::to_string(i + 1),
        [this, i](connection& aMade, const message& aRequest) {
          return Serve(i, aMade, aRequest);
        }));
    }
    for (const auto& started : nodes) {
      Await("nodes to be ready", std::chrono::seconds(15), [&] {
        return started->IsReady();
      });
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    mBegan = mRecord.Seconds();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(
        [&, i] { CallRepeatedly(i, machines[1 + i % 2]->mCaller); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    ExitWith(Check(), nodes, folder);
  }

private:
  bool Is(double aSecondsOfRound)
  {
    const double since = mRecord.Seconds() - mBegan;
    const double in_round = since - kRoundSeconds * int(since / kRoundSeconds);
    return HasTrouble() && mBegan > 0 && in_round < aSecondsOfRound;
  }

  // Two times in each round, one after the other.
  bool IsExtraTime() { return Is(kExtraSeconds) || Is(2 * kExtraSeconds); }

  bool Chance(double aShare)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  bool Serve(int aServer, connection& aMade, const message& aRequest)
  {
    thread_local std::string late; // a thread serves one connection
    const std::string id = aRequest.Field("x-plantaindale-attempt-id");
    const std::string at = "server " + std::to_string(aServer + 1) + " ";
    if (!late.empty()) {
      mRecord.Write(at + "sends the second copy of an earlier answer, then "
                         "serves " + id);
      aMade.Send(std::exchange(late, ""));
    }
    std::string answer;
    if (Is(kShedSeconds) && Chance(kShedShare)) {
      mRecord.Write(at + "rejects " + id);
      answer = "HTTP/1.1 503 Service Unavailable\r\n"
               "X-Plantaindale-Attempt-Id: " +
               id +
               "\r\nX-Plantaindale-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n"
               "Content-Length: 0\r\n\r\n";
    } else {
      mRecord.Write(at + "runs " + id);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        ++mOutcomes[id].mRuns;
      }
      std::this_thread::sleep_for(kWork);
      answer = SignedAnswer(200, aRequest, "order booked for " + id);
    }
    if (IsExtraTime() && Chance(kExtraShare)) {
      mRecord.Write(at + "will answer " + id + " twice");
      late = answer;
    }
    return aMade.Send(answer);
  }

  void CallRepeatedly(int aCaller, int aPort)
  {
    for (int i = 0; mRecord.Seconds() < mBegan + kRounds * kRoundSeconds; ++i) {
      char id[32];
      std::snprintf(id, sizeof id, "%04x%012x", aCaller + 1, i + 1);
      mRecord.Write(std::string("caller sends ") + id);
      const auto answer = Call(aPort,
                               "POST /order/new",
                               std::string("Host: shop.example\r\n"
                                           "X-Plantaindale-Attempt-Id: ") +
                                 id +
                                 "\r\nX-Plantaindale-Deadline-Remaining-Ms: "
                                 "4000\r\n",
                               "bucket",
                               milliseconds(5000));
      mRecord.Write(std::string("caller gets ") +
                    (answer ? std::to_string(answer->Status()) : "nothing") +
                    " for " + id);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mOutcomes[id].mStatus = answer ? answer->Status() : 0;
      }
      std::this_thread::sleep_for(Pause());
    }
  }

  milliseconds Pause()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return milliseconds(
      std::uniform_int_distribution<int>(0, kMaxPauseMs)(mRandom));
  }

  int Check()
  {
    int twice = 0;
    int refused = 0;
    int served = 0;
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [id, end] : mOutcomes) {
      const bool says_not_run = end.mStatus == 503 || end.mStatus == 429 ||
                                end.mStatus == 408 || end.mStatus == 421;
      served += end.mStatus == 200;
      if (end.mRuns > 1) {
        ++twice;
        mRecord.Write("TWICE: " + id + " ran " + std::to_string(end.mRuns) +
                      " times, answered " + std::to_string(end.mStatus));
      }
      if (says_not_run && end.mRuns > 0) {
        ++refused;
        mRecord.Write("REFUSED: " + id + " was answered " +
                      std::to_string(end.mStatus) + " and has run");
      }
    }
    mRecord.Write("of " + std::to_string(mOutcomes.size()) + " requests " +
                  std::to_string(served) + " were served, TWICE " +
                  std::to_string(twice) + ", REFUSED " +
                  std::to_string(refused));
    std::cout << "TWICE " << twice << ", REFUSED " << refused << ", served "
              << served << " of " << mOutcomes.size() << std::endl;
    if (served < static_cast<int>(mOutcomes.size()) / 4) {
      return 2;
    }
    return twice + refused > 0 ? 1 : 0;
  }

  record mRecord;
  std::mutex mMutex;
  std::mt19937 mRandom{ std::random_device()() };
  std::map<std::string, outcome> mOutcomes;
  std::atomic<double> mBegan = 0;
};

} // namespace

int
main(int, char** aArguments)
{
  play played(aArguments[1]);
  RunAndExit([&] { played.Run(); });
}
