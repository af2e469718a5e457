// leaving_callers sends requests and closes or resets their connections at
// random moments, then tells which of them servers began long after that.
//
//   leaving_callers callers(addresses, seed);
//   std::thread sender([&] { callers.Run(); });
//   ...
//   callers.Stop();
//   sender.join();
//   for (const auto& late : callers.LateRuns(runs)) { ... }
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {
struct run_log_entry;
}

namespace plantaindale::sessions {

class leaving_callers
{
public:
  // A run that begins later than this after its caller left is late.
  static constexpr duration kLateAfter = std::chrono::milliseconds(500);

  // `aAddresses` are the nodes' addresses for callers, IP:PORT.
  leaving_callers(std::vector<std::string> aAddresses, std::uint64_t aSeed);

  // Commands.
  // Sends requests until Stop() is called.
  void Run();
  void Stop() { mIsEnding = true; }

  // Queries, after Run() has returned.
  // A run that a server began late.
  struct late_run
  {
    const run_log_entry* mRun;
    std::string mNode; // where the request entered
    instant mSentAt;
    instant mLeftAt;
  };
  // Those in the log, which must outlive them.
  std::vector<late_run> LateRuns(const std::vector<run_log_entry>& aRuns) const;
  std::size_t Sent() const { return mLeft.size(); }

private:
  struct sent_request
  {
    int mConnection;
    std::string mTag;
    std::string mNode;
    instant mSentAt;
    instant mLeavesAt;
  };

  int RandomUpTo(int aUpperBound);
  void SendNext();
  void LeaveDue(instant aNow);

  std::vector<std::string> mAddresses;
  std::mt19937_64 mRandom;
  std::atomic<bool> mIsEnding = false;
  std::vector<sent_request> mOpen;
  std::map<std::string, sent_request, std::less<>> mLeft; // by tag
};

} // namespace plantaindale::sessions
