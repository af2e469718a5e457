#include "plantaindale/limits/server_load.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(the_load_field_of_a_server)

BOOST_AUTO_TEST_CASE(has_three_or_four_numbers)
{
  const auto load = ParseServerLoad("3,1,8");
  BOOST_REQUIRE(load);
  BOOST_CHECK_EQUAL(load->mRunning, 3);
  BOOST_CHECK_EQUAL(load->mWaiting, 1);
  BOOST_CHECK_EQUAL(load->mSlots, 8);
  BOOST_CHECK_EQUAL(load->mSlowness, 0);
  BOOST_CHECK_EQUAL(ParseServerLoad("0,0,12,300")->mSlowness, 3);
}

BOOST_AUTO_TEST_CASE(is_ignored_if_it_has_another_form)
{
  for (const char* text : { "",
                            ",",
                            "3",
                            "3,0",
                            "3,0,",
                            "3,0,8,",
                            ",0,8",
                            "3,0,8,100,1",
                            "3;0;8",
                            "3, 0, 8",
                            " 3,0,8",
                            "3,0,8 ",
                            "+3,0,8",
                            "3,0,0x8",
                            "3,0,8,1e2",
                            "3,0,8.0",
                            "nan,0,8",
                            "three,0,8" }) {
    BOOST_CHECK_MESSAGE(!ParseServerLoad(text), text);
  }
}

BOOST_AUTO_TEST_CASE(is_ignored_if_no_server_can_mean_it)
{
  for (const char* text : { "-1,0,8",
                            "0,-1,8",
                            "0,0,-8",
                            "0,0,0",
                            "0,0,8,0",
                            "0,0,8,-100",
                            "0,0,8,1000000",
                            "100,0,8",
                            "0,1000001,8",
                            "0,0,1000000",
                            "99999999999999999999,0,8" }) {
    BOOST_CHECK_MESSAGE(!ParseServerLoad(text), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
