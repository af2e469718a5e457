#include "plantaindale/request/refused_attempts.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::seconds;

const instant kStart{ seconds(100) };

BOOST_AUTO_TEST_SUITE(attempts_refused_on_a_connection)

BOOST_AUTO_TEST_CASE(are_listed_while_they_may_be_tried_again)
{
  refused_attempts refused;
  refused.Add("first", kStart + seconds(1), kStart);
  refused.Add("second", kStart + seconds(4), kStart);
  BOOST_CHECK(refused.Contains("first"));
  BOOST_CHECK(!refused.Contains("third"));
  refused.Add("third", kStart + seconds(7), kStart + seconds(3));
  BOOST_CHECK(!refused.Contains("first"));
  BOOST_CHECK(refused.Contains("second"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
