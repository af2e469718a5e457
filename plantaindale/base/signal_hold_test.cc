#include "plantaindale/base/signal_hold.h"

#include <chrono>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

volatile std::sig_atomic_t gHandled = 0;

void
CountSignal(int)
{
  gHandled = gHandled + 1;
}

BOOST_AUTO_TEST_SUITE(holding_signals)

BOOST_AUTO_TEST_CASE(a_signal_before_the_handlers_are_set_is_handled_afterwards)
{
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    gHandled = 0;
    const auto former = std::signal(signal, SIG_DFL);
    signal_hold hold;
    std::raise(signal);
    std::signal(signal, CountSignal);
    BOOST_CHECK_EQUAL(gHandled, 0);
    hold.Release();
    BOOST_CHECK_EQUAL(gHandled, 1);
    std::signal(signal, former);
  }
}

BOOST_AUTO_TEST_CASE(signals_are_delivered_as_before_once_released)
{
  {
    signal_hold hold;
  }
  gHandled = 0;
  const auto former = std::signal(SIGHUP, CountSignal);
  std::raise(SIGHUP);
  BOOST_CHECK_EQUAL(gHandled, 1);
  std::signal(SIGHUP, former);
}

constexpr int kHandledStatus = 7;

void
ExitHandled(int)
{
  _exit(kHandledStatus);
}

// Guards against a start that a signal ends: the threads of the logger are
// older than main() and don't have its mask.
BOOST_AUTO_TEST_CASE(a_signal_to_a_thread_that_is_older_is_handled_afterwards)
{
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    const pid_t child = fork();
    if (child == 0) {
      std::signal(signal, SIG_DFL);
      std::thread older([] { pause(); });
      signal_hold hold;
      kill(getpid(), signal);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      std::signal(signal, ExitHandled);
      hold.Release();
      std::this_thread::sleep_for(std::chrono::seconds(1));
      _exit(0);
    }
    int status = 0;
    BOOST_REQUIRE_EQUAL(waitpid(child, &status, 0), child);
    BOOST_CHECK_MESSAGE(WIFEXITED(status) &&
                          WEXITSTATUS(status) == kHandledStatus,
                        "signal " << signal << ": " << status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
