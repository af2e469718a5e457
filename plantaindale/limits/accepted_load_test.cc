#include "plantaindale/limits/accepted_load.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kLoadStart = instant(seconds(1000));

BOOST_AUTO_TEST_SUITE(accepted_load_test)

BOOST_AUTO_TEST_CASE(adds_up_what_is_as_urgent_or_more)
{
  accepted_load load;
  load.Add(1, milliseconds(500), kLoadStart);
  load.Add(3, milliseconds(1000), kLoadStart);
  BOOST_CHECK_CLOSE(load.ShareUpTo(3, 2, kLoadStart), 0.75, 0.1);
  BOOST_CHECK_CLOSE(load.ShareUpTo(2, 2, kLoadStart), 0.25, 0.1);
  BOOST_CHECK_EQUAL(load.ShareUpTo(0, 2, kLoadStart), 0);
}

BOOST_AUTO_TEST_CASE(forgets_what_is_long_ago)
{
  accepted_load load;
  load.Add(1, seconds(1), kLoadStart);
  BOOST_CHECK_LT(load.ShareUpTo(1, 1, kLoadStart + seconds(5)), 0.01);
}

BOOST_AUTO_TEST_CASE(steady_arrivals_give_their_share)
{
  accepted_load load;
  for (int i = 0; i < 500; ++i) {
    load.Add(1, milliseconds(5), kLoadStart + i * milliseconds(10));
  }
  BOOST_CHECK_CLOSE(load.ShareUpTo(1, 1, kLoadStart + seconds(5)), 0.5, 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
