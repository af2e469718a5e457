// thread_monitor measures how late a thread's periodic timer fires, which is
// how long a fiber of the thread waited although it was ready.
//
//   thread_monitor monitor("traffic");
//   for (;;) {
//     monitor.Sleep(interval);
//     ...
//   }
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Belongs to one thread.
class thread_monitor
{
public:
  // `aThread` must be a literal.
  explicit thread_monitor(std::string_view aThread)
    : mThread(aThread)
  {
  }

  // Suspends the calling fiber. Logs the delay if the timer fires late by more
  // than 200 ms.
  void Sleep(std::chrono::milliseconds aTime);

  // The largest delay since the process started.
  duration LongestDelay() const { return mLongestDelay; }
  std::string ToPrometheus() const;

private:
  std::string_view mThread;
  duration mLongestDelay{ 0 };
};

} // namespace plantaindale
