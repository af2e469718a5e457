#include "sessions/soak.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

void
CheckSeed(std::uint64_t aSeed, int aSteps)
{
  soak_settings settings;
  settings.mSeed = aSeed;
  settings.mSteps = aSteps;
  const soak_result result = RunSoak(settings);
  for (const std::string& failure : result.mFailures) {
    BOOST_ERROR("seed " << aSeed << ": " << failure);
  }
  for (const std::string& line : result.mEventLog) {
    BOOST_TEST_MESSAGE(line);
  }
  BOOST_CHECK_GT(result.mAnswered, 0);
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(under_random_faults)

BOOST_AUTO_TEST_CASE(keep_their_guarantees)
{
  CheckSeed(1, 6);
}

// With seed 101, a node gets SIGTERM before it has joined, while its link to
// the store is blocked.
BOOST_AUTO_TEST_CASE(stop_gracefully_before_joining)
{
  CheckSeed(101, 12);
}

// With seed 518, a node gets SIGTERM right after its start.
BOOST_AUTO_TEST_CASE(stop_gracefully_right_after_the_start)
{
  CheckSeed(518, 8);
}

// With seed 902, a VM is paused while its server runs a request that ends
// servers, and resumes after another node has taken the shard over.
BOOST_AUTO_TEST_CASE(end_no_server_under_a_grant_that_has_passed)
{
  CheckSeed(902, 12);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
