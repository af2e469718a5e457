#include "plantaindale/request/sent_attempts.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::seconds;

const instant kStart{ seconds(100) };

BOOST_AUTO_TEST_SUITE(attempts_sent_over_a_connection)

BOOST_AUTO_TEST_CASE(are_listed_while_they_may_be_tried_again)
{
  sent_attempts sent;
  sent.Add("first", kStart + seconds(1), kStart);
  sent.Add("second", kStart + seconds(4), kStart);
  BOOST_CHECK(sent.Contains("first"));
  BOOST_CHECK(!sent.Contains("third"));
  sent.Add("third", kStart + seconds(7), kStart + seconds(3));
  BOOST_CHECK(!sent.Contains("first"));
  BOOST_CHECK(sent.Contains("second"));
}

BOOST_AUTO_TEST_CASE(are_not_listed_without_an_id)
{
  sent_attempts sent;
  sent.Add("", kStart + seconds(1), kStart);
  BOOST_CHECK(!sent.Contains(""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
