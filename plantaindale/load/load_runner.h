// load_runner sends requests to a cluster as its callers would, at a steady
// rate that doesn't wait for answers, and records how each one ended.
//
//   load_runner runner(settings);
//   std::vector<request_record> records = runner.Run();
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "plantaindale/load/request_record.h"

namespace plantaindale {

// A demand on one service.
struct load_settings
{
  std::vector<std::string> mNodeAddresses; // callers' addresses of nodes
  std::string mPathPrefix = "/board/";
  double mRate = 100; // requests a second
  duration mDuration = std::chrono::seconds(5);
  int mKeys = 100;
  double mZipfExponent = 0;   // 0: every key alike
  duration mHotKeyInterval{}; // the ranks are dealt anew this often; 0: never
  double mPostFraction = 0.3; // the rest are reads
  int mAnswerBytes = 0;       // of a read; 0: the notices
  int mBodyBytes = 100;       // of a post
  int mWorkMs = 0;            // that a request takes at the backend server
  int mMaxConnections = 200;
  duration mDeadline = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
};

// One run of one demand. Run blocks the calling thread; Stop may be called
// from any.
class load_runner
{
public:
  explicit load_runner(load_settings aSettings);

  // Commands.
  // Sends until the time is over or Stop is called, and waits for the answers.
  std::vector<request_record> Run();
  void Stop() { mStopRequested = true; }

  // Queries. Requests that have ended so far; thread-safe.
  std::int64_t Ended() const { return mEnded; }
  std::int64_t Answered() const { return mAnswered; }

private:
  class caller;

  load_settings mSettings;
  std::atomic<bool> mStopRequested = false;
  std::atomic<std::int64_t> mEnded = 0;
  std::atomic<std::int64_t> mAnswered = 0;
};

} // namespace plantaindale
