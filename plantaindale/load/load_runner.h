// load_runner sends requests to a cluster at a constant rate, independent of
// when answers arrive (open loop), and records the outcome of each request.
//
//   load_runner runner(settings);
//   std::vector<request_record> records = runner.Run();
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "plantaindale/load/request_record.h"

namespace plantaindale {

// Describes the load on one service.
struct load_settings
{
  std::vector<std::string> mNodeAddresses; // caller addresses, IP:PORT
  std::string mPathPrefix = "/board/";
  double mRate = 100; // requests per second
  duration mDuration = std::chrono::seconds(5);
  int mKeys = 100;
  double mZipfExponent = 0;   // 0: uniform
  duration mHotKeyInterval{}; // hot keys change this often; 0: never
  double mPostFraction = 0.3; // the rest are GET requests
  int mAnswerBytes = 0;       // of a GET answer; 0: server default
  int mBodyBytes = 100;       // of a POST request
  int mWorkMs = 0;            // processing time at the backend server
  int mMaxConnections = 200;
  int mPipelined = 1; // GET requests sent at once on a connection
  duration mDeadline = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
};

// Sends the load once. Run blocks the calling thread; all other functions are
// thread-safe.
class load_runner
{
public:
  explicit load_runner(load_settings aSettings);

  // Sends requests for `mDuration` or until Stop is called, then waits for the
  // outstanding answers. Returns one record per request.
  std::vector<request_record> Run();
  void Stop() { mStopRequested = true; }

  // The number of requests that have ended so far, and of those answered.
  std::int64_t Ended() const { return mEnded; }
  std::int64_t Answered() const { return mAnswered; }

private:
  class caller;

  // Takes the requests that are sent at once on one connection.
  std::vector<request_record> TakeBatch(
    std::deque<request_record>& aWaiting) const;

  load_settings mSettings;
  std::atomic<bool> mStopRequested = false;
  std::atomic<std::int64_t> mEnded = 0;
  std::atomic<std::int64_t> mAnswered = 0;
};

} // namespace plantaindale
