#include "sessions/child_process.h"

#include <csignal>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

// Starts a process with the name of a node that does `aSetUp` and then waits.
// Returns once it waits.
template<class set_up_type>
pid_t
StartNamed(set_up_type aSetUp)
{
  int ready[2];
  BOOST_REQUIRE_EQUAL(pipe(ready), 0);
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_NAME, "plantaindale");
    for (const int signal : { SIGTERM, SIGHUP }) {
      std::signal(signal, SIG_DFL); // as after an exec
    }
    aSetUp();
    close(ready[1]);
    for (;;) {
      pause();
    }
  }
  close(ready[1]);
  char byte = 0;
  BOOST_CHECK_EQUAL(read(ready[0], &byte, 1), 0);
  close(ready[0]);
  return child;
}

BOOST_AUTO_TEST_SUITE(signals_of_child_processes)

// Guards against a signal that ends a node before main(): while the logger
// blocks signals to start its threads, nothing holds them yet.
BOOST_AUTO_TEST_CASE(a_process_that_only_blocks_a_signal_has_not_begun)
{
  pid_t child = StartNamed([] {
    sigset_t blocked;
    sigfillset(&blocked);
    sigprocmask(SIG_BLOCK, &blocked, nullptr);
  });
  BOOST_CHECK(!HasBegunOrEnded(child, SIGTERM));
  KillProcess(child);
}

BOOST_AUTO_TEST_CASE(a_process_that_handles_a_signal_has_begun)
{
  pid_t child = StartNamed([] { std::signal(SIGTERM, [](int) {}); });
  BOOST_CHECK(HasBegunOrEnded(child, SIGTERM));
  BOOST_CHECK(!HasBegunOrEnded(child, SIGHUP));
  KillProcess(child);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
