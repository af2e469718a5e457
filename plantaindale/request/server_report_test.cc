#include "plantaindale/request/server_report.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(the_report_of_a_server)

BOOST_AUTO_TEST_CASE(has_a_limit_only_if_it_is_a_number)
{
  BOOST_CHECK_EQUAL(*ReadServerReport("13.6", "").mRateLimit, 13.6);
  BOOST_CHECK_EQUAL(*ReadServerReport("0", "").mRateLimit, 0);
  BOOST_CHECK_EQUAL(*ReadServerReport("1e300", "").mRateLimit, 1e300);
  BOOST_CHECK(!ReadServerReport("", "").mIsRateLimitMalformed);
  for (const char* garbage :
       { "nan", "inf", "-inf", "-1", "ten", "1e999", "1,5", "5 6", " " }) {
    const server_report report = ReadServerReport(garbage, "");
    BOOST_CHECK_MESSAGE(!report.mRateLimit && report.mIsRateLimitMalformed,
                        garbage);
  }
}

BOOST_AUTO_TEST_CASE(says_that_it_leaves_only_by_1)
{
  BOOST_CHECK(ReadServerReport("", "1").mIsLeaving);
  for (const char* other : { "", "0", "true", "11", "nan" }) {
    BOOST_CHECK(!ReadServerReport("", other).mIsLeaving);
  }
}

BOOST_AUTO_TEST_CASE(has_a_load_only_if_it_can_be_true)
{
  BOOST_CHECK_EQUAL(ReadServerReport("", "", "3,0,8,150").mLoad->mSlots, 8);
  BOOST_CHECK(!ReadServerReport("", "").mLoad);
  BOOST_CHECK(!ReadServerReport("", "", "3,0,0").mLoad);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
