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
  const auto choice = ChooseShardsToHand({ own, 3, {} });
  BOOST_REQUIRE_EQUAL(choice.size(), 1u);
  BOOST_CHECK_EQUAL(own[choice.front()].mShard, 2);
}

BOOST_AUTO_TEST_CASE(keeps_a_single_hot_shard_that_would_only_change_places)
{
  const std::vector<shard_load> own{ { 1, 6, false } };
  BOOST_CHECK(ChooseShardsToHand({ own, 0, {} }).empty());
}

BOOST_AUTO_TEST_CASE(leaves_small_differences_alone)
{
  const std::vector<shard_load> own{ { 1, 5, false }, { 2, 0.1, false } };
  BOOST_CHECK(ChooseShardsToHand({ own, 4.8, {} }).empty());
}

BOOST_AUTO_TEST_CASE(hands_over_many_small_shards_at_once)
{
  std::vector<shard_load> own;
  for (int shard = 0; shard < 40; ++shard) {
    own.push_back({ shard, 0.2, false });
  }
  BOOST_CHECK_EQUAL(ChooseShardsToHand({ own, 4, {} }).size(), 10u);
}

BOOST_AUTO_TEST_CASE(hands_over_neighbours_where_these_do)
{
  // The busiest ones lie apart; those from 20 on take off as much.
  std::vector<shard_load> own;
  for (int shard = 0; shard < 40; ++shard) {
    const bool is_busier = shard % 4 == 0 && shard < 20;
    own.push_back({ shard, is_busier ? 0.22 : 0.2, false });
  }
  const auto choice = ChooseShardsToHand({ own, 4, {} });
  BOOST_REQUIRE_EQUAL(choice.size(), 10u);
  BOOST_CHECK_EQUAL(choice.back() - choice.front(), 9u);
}

BOOST_AUTO_TEST_CASE(asks_for_more_gain_where_churn_weighs_more)
{
  const std::vector<shard_load> own{ { 1, 8, false }, { 2, 2, false } };
  BOOST_CHECK(!ChooseShardsToHand({ own, 5, { 1, 1, 1 } }).empty());
  BOOST_CHECK(ChooseShardsToHand({ own, 5, { 1, 1, 8 } }).empty());
}

BOOST_AUTO_TEST_CASE(asks_for_more_gain_while_its_server_is_at_ease)
{
  const std::vector<shard_load> own{ { 1, 4, false }, { 2, 1, false } };
  BOOST_CHECK(!ChooseShardsToHand({ own, 2.5, {}, 0.6 }).empty());
  BOOST_CHECK(ChooseShardsToHand({ own, 2.5, {}, 0.4 }).empty());
}

BOOST_AUTO_TEST_CASE(keeps_what_has_just_come)
{
  const std::vector<shard_load> own{ { 1, 4, false }, { 2, 2, true } };
  BOOST_CHECK(ChooseShardsToHand({ own, 3, {} }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
