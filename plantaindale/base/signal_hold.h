// signal_hold keeps SIGTERM, SIGINT and SIGHUP pending while a process starts.
// Without it, one that arrives before the handlers are set ends the process.
//
//   signal_hold hold;        // first thing in main()
//   signal_set signals(...); // sets the handlers
//   hold.Release();          // delivers what has arrived
#pragma once

#include <csignal>

namespace plantaindale {

// Applies to the calling thread and the threads that it starts afterwards.
class signal_hold
{
public:
  signal_hold();
  signal_hold(const signal_hold&) = delete;
  signal_hold& operator=(const signal_hold&) = delete;
  ~signal_hold() { Release(); }

  void Release();

private:
  bool mIsHeld = true;
  sigset_t mFormerMask;
};

} // namespace plantaindale
