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
  for (const std::string& fault : result.mFaults) {
    BOOST_ERROR("seed " << aSeed << ": " << fault);
  }
  for (const std::string& line : result.mStory) {
    BOOST_TEST_MESSAGE(line);
  }
  BOOST_CHECK_GT(result.mAnswered, 0);
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(that_are_faulted_at_random)

BOOST_AUTO_TEST_CASE(keep_their_promises)
{
  CheckSeed(1, 6);
}

// A node is told to stop before it could join; its link to the store is silent.
BOOST_AUTO_TEST_CASE(end_in_order_before_they_could_join)
{
  CheckSeed(101, 12);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
