// server_end_watch decides which requests a backend server was running when it
// ended. It is told of each run and of what connections to the server's address
// show, and reports the end of a server with its suspects.
//
//   server_end_watch watch([](server_end aEnd) { ... });
//   const auto run = watch.Begin(head, now);
//   ... the connection breaks:
//   watch.Break(run, boot_clock::now());
//   ... a new connection is refused:
//   watch.OnRefused(boot_clock::now());
//   if (watch.StateOf(run) == server_end_watch::run_state::kServerEnded) { ...
//   }
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "plantaindale/crashes/server_end.h"
#include "plantaindale/membership/node_record.h"

namespace plantaindale {

// Performs no I/O and reads no clock. Single-threaded.
class server_end_watch
{
public:
  using on_end = std::function<void(server_end)>;
  using run_id = std::int64_t;

  // A run whose connection broke this long before the server's end was running
  // at the end.
  static constexpr duration kBreakWindow = std::chrono::milliseconds(200);
  // Runs beyond are not watched.
  static constexpr std::size_t kMaxRuns = 256;

  enum class run_state
  {
    kUnwatched,
    kRunning,
    kBroken,      // why is not known
    kServerLives, // the connection broke, but the server still runs
    kServerEnded  // the server ended while it ran the request
  };

  // `aOnEnd` gets each end that has suspects. It must not call the watch.
  explicit server_end_watch(on_end aOnEnd);

  // Commands.
  // Another start at the same address shows that the former has ended.
  void SetServer(const announced_server& aServer, instant aNow);
  // The server gets the request now.
  run_id Begin(const protocol::request_head& aHead, instant aNow);
  // The run has ended, but not by the end of its connection.
  void Finish(run_id aRun) { mRuns.erase(aRun); }
  // The connection ended before the complete response.
  void Break(run_id aRun, instant aNow);
  // Nothing listens at the server's address. That shows its end only if
  // connections broke too: a server may stop listening and run on.
  void OnRefused(instant aNow);
  // A connection that was begun at `aBeganAt` was accepted.
  void OnAccepted(instant aBeganAt);

  // Queries.
  run_state StateOf(run_id aRun) const;

private:
  struct run
  {
    announced_server mServer;
    std::optional<request_fingerprint> mFingerprint;
    interrupted_run mRun;
    instant mBrokeAt = kNever; // kNever: still open
    run_state mState = run_state::kRunning;
  };

  void Forget(instant aNow);
  // Whether the server in force has replaced that of the run.
  bool IsReplaced(const run& aRun) const;
  template<class condition_type>
  void ReportEnd(instant aNow, const condition_type& aIsSuspect);

  on_end mOnEnd;
  announced_server mServer;
  std::map<run_id, run> mRuns;
  run_id mNextRun = 1;
};

} // namespace plantaindale
