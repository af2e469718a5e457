// signal_hold keeps SIGTERM, SIGINT and SIGHUP pending while a process starts.
// Without it, one that arrives before the handlers are set ends the process.
//
//   signal_hold hold;        // first thing in main()
//   signal_set signals(...); // sets the handlers
//   hold.Release();          // delivers what has arrived
#pragma once

#include <array>
#include <csignal>

namespace plantaindale {

// Blocks the signals for the calling thread and those that it starts. Threads
// that libraries have started before main() don't inherit that, so signals that
// these get are recorded, and raised again at the release. One at a time.
class signal_hold
{
public:
  signal_hold();
  signal_hold(const signal_hold&) = delete;
  signal_hold& operator=(const signal_hold&) = delete;
  ~signal_hold() { Release(); }

  void Release();

private:
  static constexpr std::array<int, 3> kSignals = { SIGTERM, SIGINT, SIGHUP };

  bool mIsHeld = true;
  sigset_t mFormerMask;
  std::array<struct sigaction, kSignals.size()> mFormerActions;
};

} // namespace plantaindale
