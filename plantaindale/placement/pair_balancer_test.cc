#include "plantaindale/placement/pair_balancer.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(of_two_nodes_the_more_loaded_one)

BOOST_AUTO_TEST_CASE(hands_over_the_shard_that_evens_them_out_best)
{
  const std::vector<shard_load> own{ { 1, 4, false },
                                     { 2, 2, false },
                                     { 3, 1, false } };
  const auto choice = ChooseShardToHand({ own, 3, {} });
  BOOST_REQUIRE(choice.has_value());
  BOOST_CHECK_EQUAL(own[*choice].mShard, 2);
}

BOOST_AUTO_TEST_CASE(keeps_a_single_hot_shard_that_would_only_change_places)
{
  const std::vector<shard_load> own{ { 1, 6, false } };
  BOOST_CHECK(!ChooseShardToHand({ own, 0, {} }).has_value());
}

BOOST_AUTO_TEST_CASE(leaves_small_differences_alone)
{
  const std::vector<shard_load> own{ { 1, 5, false }, { 2, 0.1, false } };
  BOOST_CHECK(!ChooseShardToHand({ own, 4.8, {} }).has_value());
}

BOOST_AUTO_TEST_CASE(asks_for_more_gain_where_churn_weighs_more)
{
  const std::vector<shard_load> own{ { 1, 9, false }, { 2, 1, false } };
  BOOST_CHECK(ChooseShardToHand({ own, 7, { 1, 1, 1 } }).has_value());
  BOOST_CHECK(!ChooseShardToHand({ own, 7, { 1, 1, 8 } }).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_what_has_just_come)
{
  const std::vector<shard_load> own{ { 1, 4, false }, { 2, 2, true } };
  BOOST_CHECK(!ChooseShardToHand({ own, 3, {} }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
