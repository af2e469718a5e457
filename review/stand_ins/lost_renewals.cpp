// Case: three nodes; for some seconds, a part of the writes to the platform's
// store gets no answer and is carried out late. Checks that no two servers hold
// the same keys for over half a second.
#include <utility>

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kShards = 2048; // the node grants keys in ranges of 32
constexpr int kKeysPerShard = 32;
constexpr double kLateShare = 0.35;   // platform_lost, site file
constexpr double kLateSeconds = 4.5;  // platform_lost, site file
constexpr double kCalmSeconds = 10.0; // between two such times
constexpr int kTimes = 6;
constexpr int kCallers = 4;
constexpr double kLongestOverlap = 0.5;
constexpr milliseconds kWork{ 20 };
constexpr milliseconds kPause{ 40 };

// The keys of one server: who holds what, by the server's own account.
struct holding
{
  long mFence = 0; // the highest seen
  double mSince = 0;
  double mUntil = 0;
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
    store& platform = *new store(store_port);
    for (int i = 0; i < kMachines; ++i) {
      mMachines.push_back(std::make_unique<machine>());
      mMachines.back()->mName = "n" + std::to_string(i + 1);
      mMachines.back()->mZone = "zone-" + std::to_string(i + 1);
      mMachines.back()->mService = "stock";
    }
    platform.PutConfiguration(
      R"({"version":"r1","routes":{"r-stock":{"host":"shop.example",)"
      R"("pathPrefix":"/stock/","kind":"safe","timeout":"1500ms",)"
      R"("targetLatency":"500ms","priority":2,"service":"stock",)"
      R"("maxAttempts":2}},"services":{"stock":{"healthCheckPath":"/health",)"
      R"("maxConnections":110,"sharded":true,"warmup":"2s","grants":"call"}},)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}})");
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < kMachines; ++i) {
      nodes.push_back(
        std::make_unique<node>(*mMachines[i], store_port, folder.Path()));
      mHeld.emplace_back(kShards);
      mServers.push_back(std::make_unique<server>(
        *mMachines[i],
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
    std::this_thread::sleep_for(std::chrono::seconds(6));
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] { CallRepeatedly(i); });
    }
    for (int i = 0; i < kTimes; ++i) {
      if (HasTrouble()) {
        mRecord.Write("from now on answers of the store are lost");
        platform.SetLateWrites(kLateShare);
      }
      Sleep(kLateSeconds);
      platform.SetLateWrites(0);
      mRecord.Write("from now on the store answers");
      Sleep(kCalmSeconds);
    }
    mHasEnded = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    ExitWith(Check(), nodes, folder);
  }

private:
  static void Sleep(double aSeconds)
  {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }

  static long Number(const std::string& aBody, const std::string& aName)
  {
    const std::size_t place = aBody.find("\"" + aName + "\":");
    const std::size_t value = aBody.find_first_of("0123456789", place);
    return std::stol(aBody.substr(value));
  }

  bool Serve(int aServer, connection& aMade, const message& aRequest)
  {
    if (aRequest.Target() == "/api/grant") {
      return aMade.Send(Grant(aServer, aRequest.mBody));
    }
    if (aRequest.Target() == "/api/release") {
      return aMade.Send(Release(aServer, aRequest.mBody));
    }
    const int shard =
      std::atoi(aRequest.Field("x-plantaindale-shard-key").c_str()) /
      kKeysPerShard;
    const std::string id = aRequest.Field("x-plantaindale-attempt-id");
    bool holds = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      holds = mHeld[aServer][shard].mUntil > mRecord.Seconds();
      mBegun += holds;
    }
    if (!holds) {
      return aMade.Send("HTTP/1.1 421 Misdirected Request\r\n"
                        "X-Plantaindale-Attempt-Id: " +
                        id +
                        "\r\nX-Plantaindale-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
    }
    std::this_thread::sleep_for(kWork);
    return aMade.Send(SignedAnswer(200, aRequest, "in stock"));
  }

  std::string Grant(int aServer, const std::string& aBody)
  {
    const long fence = Number(aBody, "fence");
    const double hold = Number(aBody, "hold_time") / 1000.0;
    const std::lock_guard<std::mutex> lock(mMutex);
    const double now = mRecord.Seconds();
    const int first = static_cast<int>(Number(aBody, "from")) / kKeysPerShard;
    const int last = static_cast<int>(Number(aBody, "to")) / kKeysPerShard;
    for (int shard = first; shard <= last; ++shard) {
      if (mHeld[aServer][shard].mFence > fence) {
        return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
      }
    }
    for (int shard = first; shard <= last; ++shard) {
      holding& held = mHeld[aServer][shard];
      if (held.mUntil <= now) {
        held.mSince = now;
      }
      held.mFence = fence;
      held.mUntil = now + hold;
    }
    mRecord.Write("server " + std::to_string(aServer + 1) + " is granted " +
                  std::to_string(first) + " to " + std::to_string(last) +
                  " under " + std::to_string(fence) + " for " +
                  std::to_string(hold) + " s");
    FindOverlaps(aServer, first, last, now);
    return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  }

  // Notes from when to when two servers hold a shard. Another server's hold may
  // still be cut short by a release.
  void FindOverlaps(int aServer, int aFirst, int aLast, double aNow)
  {
    for (int shard = aFirst; shard <= aLast; ++shard) {
      for (int other = 0; other < kMachines; ++other) {
        if (other != aServer && mHeld[other][shard].mUntil > aNow) {
          mOverlaps.try_emplace({ shard,
                                  std::min(aServer, other),
                                  std::max(aServer, other) },
                                aNow);
        }
      }
    }
    EndOverlaps(aNow);
  }

  // Judges the overlaps that have ended.
  void EndOverlaps(double aNow)
  {
    for (auto it = mOverlaps.begin(); it != mOverlaps.end();) {
      const auto [shard, one, other] = it->first;
      const double end =
        std::min(mHeld[one][shard].mUntil, mHeld[other][shard].mUntil);
      if (end > aNow) {
        ++it;
        continue;
      }
      const double lasted = end - it->second;
      mLongest = std::max(mLongest, lasted);
      if (lasted > kLongestOverlap) {
        ++mViolations;
        if (mViolations <= 5) {
          mRecord.Write("OWNER: shard " + std::to_string(shard) +
                        " was held by servers " + std::to_string(one + 1) +
                        " and " + std::to_string(other + 1) + " for " +
                        std::to_string(lasted) + " s from " +
                        std::to_string(it->second) + " on");
        }
      }
      it = mOverlaps.erase(it);
    }
  }

  std::string Release(int aServer, const std::string& aBody)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const double now = mRecord.Seconds();
    const long fence = Number(aBody, "fence");
    const int first = static_cast<int>(Number(aBody, "from")) / kKeysPerShard;
    const int last = static_cast<int>(Number(aBody, "to")) / kKeysPerShard;
    for (int shard = first; shard <= last; ++shard) {
      holding& held = mHeld[aServer][shard];
      if (held.mFence <= fence) {
        held.mUntil = std::min(held.mUntil, now);
      }
    }
    mRecord.Write("server " + std::to_string(aServer + 1) + " releases " +
                  std::to_string(first) + " to " + std::to_string(last));
    EndOverlaps(now);
    return "HTTP/1.1 200 OK\r\nX-Plantaindale-Handover: ab12\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  void CallRepeatedly(int aCaller)
  {
    std::mt19937 random(static_cast<unsigned>(aCaller));
    for (int i = 0; !mHasEnded; ++i) {
      char id[32];
      std::snprintf(id, sizeof id, "%04x%012x", aCaller + 1, i + 1);
      const int key = static_cast<int>(random() % (kShards * kKeysPerShard));
      const auto answer =
        Call(mMachines[i % kMachines]->mCaller,
             "GET /stock/item",
             std::string("Host: shop.example\r\nX-Plantaindale-Shard-Key: ") +
               std::to_string(key) + "\r\nX-Plantaindale-Attempt-Id: " + id +
               "\r\nX-Plantaindale-Deadline-Remaining-Ms: 3000\r\n",
             "",
             milliseconds(4000));
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        ++(answer && answer->Status() == 200 ? mServed : mNotServed);
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  int Check()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    EndOverlaps(mRecord.Seconds() + 60);
    const std::string result =
      "OWNER: " + std::to_string(mViolations) +
      " times two servers held a shard for over 0.5 s; the longest time was " +
      std::to_string(mLongest) + " s; " + std::to_string(mServed) +
      " requests were served and " + std::to_string(mNotServed) + " not";
    mRecord.Write(result);
    std::cout << result << std::endl;
    if (mServed < mNotServed) {
      return 2;
    }
    return mViolations > 0 ? 1 : 0;
  }

  record mRecord;
  std::vector<std::unique_ptr<machine>> mMachines;
  std::vector<std::unique_ptr<server>> mServers;
  std::mutex mMutex;
  std::vector<std::vector<holding>> mHeld;                  // by server, shard
  std::map<std::tuple<int, int, int>, double> mOverlaps;    // since when
  int mViolations = 0;
  double mLongest = 0;
  int mBegun = 0;
  int mServed = 0;
  int mNotServed = 0;
  std::atomic<bool> mHasEnded = false;
};

} // namespace

int
main(int, char** aArguments)
{
  play played(aArguments[1]);
  RunAndExit([&] { played.Run(); });
}
