#include "plantaindale/limits/retry_after.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(retry_after)

BOOST_AUTO_TEST_CASE(names_the_time_at_which_room_is_expected)
{
  BOOST_CHECK(RetryAfter(milliseconds(400), seconds(6), 0) ==
              milliseconds(400));
}

BOOST_AUTO_TEST_CASE(spreads_callers_over_half_of_the_wait)
{
  BOOST_CHECK(RetryAfter(milliseconds(400), seconds(6), 0.5) ==
              milliseconds(500));
  BOOST_CHECK(RetryAfter(milliseconds(400), seconds(6), 1) ==
              milliseconds(600));
}

BOOST_AUTO_TEST_CASE(never_exceeds_a_third_of_the_time_left)
{
  BOOST_CHECK(RetryAfter(seconds(9), seconds(3), 1) <= seconds(1));
  BOOST_CHECK(RetryAfter(seconds(9), seconds(3), 1) > milliseconds(990));
  BOOST_CHECK(RetryAfter(seconds(9), seconds(3), 0) > milliseconds(600));
}

BOOST_AUTO_TEST_CASE(never_is_shorter_than_the_floor)
{
  BOOST_CHECK(RetryAfter(duration(0), seconds(3), 0) == kMinRetryAfter);
  BOOST_CHECK(RetryAfter(duration(0), duration(0), 1) == kMinRetryAfter);
  BOOST_CHECK(RetryAfter(seconds(1), seconds(-1), 1) == kMinRetryAfter);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
