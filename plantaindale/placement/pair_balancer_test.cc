#include "plantaindale/placement/pair_balancer.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(pairwise_balancing)

BOOST_AUTO_TEST_CASE(moves_the_shard_that_equalizes_load_best)
{
  const std::vector<shard_load> local_shards{ { 1, 4, false },
                                              { 2, 2, false },
                                              { 3, 1, false } };
  const auto choice = ChooseShardsToMove({ local_shards, 3, {} });
  BOOST_REQUIRE_EQUAL(choice.size(), 1u);
  BOOST_CHECK_EQUAL(local_shards[choice.front()].mShard, 2);
}

BOOST_AUTO_TEST_CASE(keeps_a_single_hot_shard)
{
  const std::vector<shard_load> local_shards{ { 1, 6, false } };
  BOOST_CHECK(ChooseShardsToMove({ local_shards, 0, {} }).empty());
}

BOOST_AUTO_TEST_CASE(ignores_small_differences)
{
  const std::vector<shard_load> local_shards{ { 1, 5, false },
                                              { 2, 0.1, false } };
  BOOST_CHECK(ChooseShardsToMove({ local_shards, 4.8, {} }).empty());
}

BOOST_AUTO_TEST_CASE(moves_many_small_shards_together)
{
  std::vector<shard_load> local_shards;
  for (int shard = 0; shard < 40; ++shard) {
    local_shards.push_back({ shard, 0.2, false });
  }
  BOOST_CHECK_EQUAL(ChooseShardsToMove({ local_shards, 4, {} }).size(), 10u);
}

BOOST_AUTO_TEST_CASE(prefers_contiguous_shards_of_similar_load)
{
  // The busiest ones lie apart; those from 20 on take off as much.
  std::vector<shard_load> local_shards;
  for (int shard = 0; shard < 40; ++shard) {
    const bool is_busier = shard % 4 == 0 && shard < 20;
    local_shards.push_back({ shard, is_busier ? 0.22 : 0.2, false });
  }
  const auto choice = ChooseShardsToMove({ local_shards, 4, {} });
  BOOST_REQUIRE_EQUAL(choice.size(), 10u);
  BOOST_CHECK_EQUAL(choice.back() - choice.front(), 9u);
}

BOOST_AUTO_TEST_CASE(requires_more_gain_for_a_higher_churn_weight)
{
  const std::vector<shard_load> local_shards{ { 1, 8, false },
                                              { 2, 2, false } };
  BOOST_CHECK(!ChooseShardsToMove({ local_shards, 5, { 1, 1, 1 } }).empty());
  BOOST_CHECK(ChooseShardsToMove({ local_shards, 5, { 1, 1, 8 } }).empty());
}

BOOST_AUTO_TEST_CASE(requires_more_gain_below_busy_utilization)
{
  const std::vector<shard_load> local_shards{ { 1, 4, false },
                                              { 2, 1, false } };
  BOOST_CHECK(!ChooseShardsToMove({ local_shards, 2.5, {}, 0.6 }).empty());
  BOOST_CHECK(ChooseShardsToMove({ local_shards, 2.5, {}, 0.4 }).empty());
}

BOOST_AUTO_TEST_CASE(keeps_recently_moved_shards)
{
  const std::vector<shard_load> local_shards{ { 1, 4, false }, { 2, 2, true } };
  BOOST_CHECK(ChooseShardsToMove({ local_shards, 3, {} }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
