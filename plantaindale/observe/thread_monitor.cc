#include "plantaindale/observe/thread_monitor.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/log_event.h"
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

constexpr duration kLoggedDelay = std::chrono::milliseconds(200);

} // namespace

void
thread_monitor::Sleep(std::chrono::milliseconds aTime)
{
  const instant due = boot_clock::now() + aTime;
  boost::this_fiber::sleep_for(aTime);
  const duration delay = boot_clock::now() - due;
  mLongestDelay = std::max(mLongestDelay, delay);
  if (delay >= kLoggedDelay) {
    log_event("thread_delayed", log_level::kWarning)
      .With("thread", mThread)
      .With("late_us", delay.count());
  }
}

std::string
thread_monitor::ToPrometheus() const
{
  return absl::StrCat("plantaindale_thread_delay_seconds_max{thread=\"",
                      std::string(mThread),
                      "\"} ",
                      std::chrono::duration<double>(mLongestDelay).count(),
                      "\n");
}

} // namespace plantaindale
