// Case: a request crashes each server that begins to run it and comes again;
// all nodes are killed at once, twice. Checks that the request does not reach
// servers in more than three retries later than stableWindow after it has
// crashed the third.
#include <utility>

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kMachines = 4;
constexpr int kOrders = 3; // machines of the service orders
constexpr int kKills = 2;
constexpr double kStableWindow = 3.0;         // bounds: stableWindow
constexpr milliseconds kServerDown{ 2000 };   // "back after some seconds"
constexpr milliseconds kComesAgain{ 3000 };   // the deadly request
constexpr milliseconds kPause{ 100 };         // other requests
constexpr milliseconds kWork{ 40 };
constexpr milliseconds kNodeDown{ 1000 };     // herd_kill, site file: 2.0 s
constexpr std::chrono::seconds kRound{ 20 };  // from one kill to the next
constexpr std::size_t kCrashesToRefuse = 3;
constexpr int kAllowedRetries = 3;

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
    const char* services[] = { "orders", "orders", "orders", "stock" };
    for (int i = 0; i < kMachines; ++i) {
      mMachines.push_back(std::make_unique<machine>());
      mMachines.back()->mName = "n" + std::to_string(i + 1);
      mMachines.back()->mZone = "zone-" + std::to_string(i % 2 + 1);
      mMachines.back()->mService = services[i];
    }
    platform.PutConfiguration(
      R"({"version":"r1","routes":{"r-order":{"host":"shop.example",)"
      R"("pathPrefix":"/order/","kind":"unsafe","timeout":"2000ms",)"
      R"("targetLatency":"600ms","priority":1,"service":"orders",)"
      R"("maxAttempts":2}},"services":{"orders":{"healthCheckPath":"/health",)"
      R"("maxConnections":110},"stock":{"healthCheckPath":"/health",)"
      R"("maxConnections":110}},"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
      R"("idleTimeout":"15000ms"}})");
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < kMachines; ++i) {
      nodes.push_back(
        std::make_unique<node>(*mMachines[i], store_port, folder.Path()));
      StartServer(i);
    }
    AwaitReady(nodes);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::vector<std::thread> callers;
    for (int i = 0; i < kMachines; ++i) {
      callers.emplace_back([&, i] { CallRepeatedly(i, "/order/new", kPause); });
    }
    callers.emplace_back(
      [&] { CallRepeatedly(-1, "/order/deadly", kComesAgain); });
    for (int round = 0;; ++round) {
      std::this_thread::sleep_for(kRound);
      if (round == kKills) {
        break;
      }
      if (HasTrouble()) {
        for (const auto& started : nodes) {
          started->Signal(SIGKILL);
        }
        mRecord.Write("all nodes are killed");
        for (const auto& started : nodes) {
          started->Kill();
        }
        std::this_thread::sleep_for(kNodeDown);
        for (const auto& started : nodes) {
          started->Start();
        }
        mInTouchFrom = mRecord.Seconds() + kStableWindow;
        mRecord.Write("all nodes are started");
        AwaitReady(nodes);
      }
    }
    mHasEnded = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    ExitWith(Check(), nodes, folder);
  }

private:
  void AwaitReady(const std::vector<std::unique_ptr<node>>& aNodes)
  {
    for (const auto& started : aNodes) {
      Await("nodes to be ready", std::chrono::seconds(15), [&] {
        return started->IsReady();
      });
    }
  }

  void StartServer(int aIndex)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    auto& slot = mServers[aIndex];
    slot.push_back(std::make_unique<server>(
      *mMachines[aIndex],
      "i-" + std::to_string(aIndex + 1) + "-" + std::to_string(slot.size()),
      [this, aIndex, number = slot.size()](connection& aMade,
                                           const message& aRequest) {
        return Serve(aIndex, number, aMade, aRequest);
      }));
  }

  bool Serve(int aIndex,
             std::size_t aNumber,
             connection& aMade,
             const message& aRequest)
  {
    const std::string id = aRequest.Field("x-plantaindale-attempt-id");
    mRecord.Write("server " + std::to_string(aIndex + 1) + " runs " + id + " " +
                  aRequest.Target());
    if (aRequest.Target() == "/order/deadly") {
      OnDeadly(aIndex, aNumber);
      return false;
    }
    std::this_thread::sleep_for(kWork);
    return aMade.Send(SignedAnswer(200, aRequest, "order booked for " + id));
  }

  void OnDeadly(int aIndex, std::size_t aNumber)
  {
    const double now = mRecord.Seconds();
    std::this_thread::sleep_for(milliseconds(30));
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const bool counts = mCrashes.size() >= kCrashesToRefuse &&
                          now > mCrashes[kCrashesToRefuse - 1] + kStableWindow &&
                          now > mInTouchFrom;
      mLateRetries += counts;
      mCrashes.push_back(now);
      mServers[aIndex][aNumber]->Crash();
    }
    mRecord.Write("server " + std::to_string(aIndex + 1) + " has crashed");
    std::thread([this, aIndex] {
      std::this_thread::sleep_for(kServerDown);
      StartServer(aIndex);
      mRecord.Write("server " + std::to_string(aIndex + 1) + " is back");
    }).detach();
  }

  // The requests of one caller; -1: those that are deadly, at the machines of
  // one service in turn, so that X-Plantaindale-Caller-Service is the same.
  void CallRepeatedly(int aCaller, const std::string& aPath, milliseconds aPause)
  {
    for (int i = 0; !mHasEnded; ++i) {
      while (aCaller < 0 && mRecord.Seconds() < mInTouchFrom) {
        std::this_thread::sleep_for(kPause); // comes when they are in touch
      }
      const int at = aCaller < 0 ? i % kOrders : aCaller;
      char id[32];
      std::snprintf(id, sizeof id, "%04x%012x", aCaller + 2, i + 1);
      mRecord.Write(std::string("caller sends ") + id + " " + aPath);
      const auto answer = Call(mMachines[at]->mCaller,
                               "POST " + aPath,
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
      if (aCaller >= 0) {
        const std::lock_guard<std::mutex> lock(mMutex);
        ++(answer && answer->Status() == 200 ? mServed : mNotServed);
      }
      std::this_thread::sleep_for(aPause);
    }
  }

  int Check()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::string result =
      "the deadly request crashed " + std::to_string(mCrashes.size()) +
      " servers; BUDGET: " + std::to_string(mLateRetries) +
      " retries reached servers later than 3 s after the third crash, by "
      "machines in touch; of the other requests " +
      std::to_string(mServed) + " were served and " +
      std::to_string(mNotServed) + " not";
    mRecord.Write(result);
    std::cout << result << std::endl;
    if (mCrashes.size() < kCrashesToRefuse || mServed < mNotServed) {
      return 2;
    }
    return mLateRetries > kAllowedRetries ? 1 : 0;
  }

  record mRecord;
  std::vector<std::unique_ptr<machine>> mMachines;
  std::mutex mMutex;
  std::map<int, std::vector<std::unique_ptr<server>>> mServers;
  std::vector<double> mCrashes;
  int mLateRetries = 0;
  int mServed = 0;
  int mNotServed = 0;
  std::atomic<double> mInTouchFrom = 0;
  std::atomic<bool> mHasEnded = false;
};

} // namespace

int
main(int, char** aArguments)
{
  play played(aArguments[1]);
  RunAndExit([&] { played.Run(); });
}
