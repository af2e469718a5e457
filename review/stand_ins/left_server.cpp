// Case: a server leaves (DELETE, confirmed), its node restarts, and a liveness
// report that the server sent before it left arrives late. Checks that no
// request reaches the server later than drainTimeout after the confirmation.
#include <utility>

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kMachines = 4;
constexpr int kCallers = 8;
constexpr double kDrainTimeout = 2.0; // bounds: drainTimeout
constexpr double kStableWindow = 3.0; // bounds: stableWindow
// From the confirmation on.
constexpr milliseconds kKillAfter{ 300 };
constexpr milliseconds kRestartAfter{ 200 }; // of the kill
constexpr milliseconds kReportAfter{ 3000 }; // "seconds late"
constexpr milliseconds kEndAfter{ 9000 };    // "at times many seconds"
constexpr milliseconds kWork{ 100 };
constexpr milliseconds kPause{ 60 };

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
    const char* services[] = { "orders", "orders", "stock", "tracking" };
    for (int i = 0; i < kMachines; ++i) {
      machines.push_back(std::make_unique<machine>());
      machines.back()->mName = "n" + std::to_string(i + 1);
      machines.back()->mZone = "zone-" + std::to_string(i % 2 + 1);
      machines.back()->mService = services[i];
    }
    platform.PutConfiguration(
      R"({"version":"r1","routes":{"r-order":{"host":"shop.example",)"
      R"("pathPrefix":"/order/","kind":"unsafe","timeout":"2000ms",)"
      R"("targetLatency":"600ms","priority":1,"service":"orders",)"
      R"("maxAttempts":2}},"services":{"orders":{"healthCheckPath":"/health",)"
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
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(
        [&, i] { CallRepeatedly(i, machines[1 + i % 3]->mCaller); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    // Sent before the server leaves; it arrives later.
    const std::string report = servers[0]->NextReport();
    if (!servers[0]->Leave()) {
      throw std::runtime_error("the leaving was not confirmed");
    }
    mLeftAt = mRecord.Seconds();
    mRecord.Write("n1 confirms that server 1 leaves");
    if (HasTrouble()) {
      std::this_thread::sleep_for(kKillAfter);
      nodes[0]->Kill();
      mRecord.Write("n1 is killed");
      std::this_thread::sleep_for(kRestartAfter);
      nodes[0]->Start();
      mInTouchFrom = mRecord.Seconds() + kStableWindow;
      mRecord.Write("n1 is started");
      SleepUntil(kReportAfter);
      const bool is_taken = servers[0]->SendReport(report);
      mRecord.Write(std::string("a liveness report of server 1 from before it "
                                "left arrives; ") +
                    (is_taken ? "confirmed" : "not confirmed"));
    }
    SleepUntil(kEndAfter);
    mHasEnded = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    ExitWith(Check(), nodes, folder);
  }

private:
  void SleepUntil(milliseconds aAfterLeaving)
  {
    const double left =
      mLeftAt + aAfterLeaving.count() / 1000.0 - mRecord.Seconds();
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }

  bool Serve(int aServer, connection& aMade, const message& aRequest)
  {
    const std::string id = aRequest.Field("x-plantaindale-attempt-id");
    const double now = mRecord.Seconds();
    mRecord.Write("server " + std::to_string(aServer + 1) + " runs " + id);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      ++mRuns[aServer];
      // Machines in touch only: n1 was killed and started.
      const bool is_late = aServer == 0 && mLeftAt > 0 &&
                           now > mLeftAt + kDrainTimeout &&
                           now > mInTouchFrom;
      mLate += is_late;
      mOfTheKilled += aServer == 0 && mLeftAt > 0 &&
                      now > mLeftAt + kDrainTimeout && now <= mInTouchFrom;
    }
    std::this_thread::sleep_for(kWork);
    return aMade.Send(SignedAnswer(200, aRequest, "order booked for " + id));
  }

  void CallRepeatedly(int aCaller, int aPort)
  {
    for (int i = 0; !mHasEnded; ++i) {
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
      std::this_thread::sleep_for(kPause);
    }
  }

  int Check()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::string result =
      "server 1 ran " + std::to_string(mRuns[0]) + " requests, server 2 " +
      std::to_string(mRuns[1]) + "; DRAIN: " + std::to_string(mLate) +
      " reached server 1 later than 2 s after its leaving was confirmed (and " +
      std::to_string(mOfTheKilled) + " while n1 counts as out of touch)";
    mRecord.Write(result);
    std::cout << result << std::endl;
    if (mRuns[0] == 0 || mRuns[1] == 0) {
      return 2;
    }
    return mLate > 0 ? 1 : 0;
  }

  record mRecord;
  std::mutex mMutex;
  std::map<int, int> mRuns; // by server
  int mLate = 0;
  int mOfTheKilled = 0;
  std::atomic<double> mLeftAt = 0;
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
