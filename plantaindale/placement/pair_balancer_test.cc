#include "plantaindale/placement/pair_balancer.h"

#include <cmath>
#include <random>

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
  // The busiest shards aren't contiguous; shards 20 and up take off nearly as
  // much load.
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

BOOST_AUTO_TEST_SUITE(chance)

// Two servers of equal true load. Each runs requests that begin independently,
// so the numbers of running requests have a Poisson distribution; the measured
// loads are means of `aParts` independent ones.
int
MovesBetweenEqualServers(double aTrueLoad, int aParts, duration aWindow)
{
  std::mt19937 random(1);
  const auto measure = [&] {
    std::poisson_distribution<int> running(aTrueLoad);
    double sum = 0;
    for (int i = 0; i < aParts; ++i) {
      sum += running(random);
    }
    return sum / aParts;
  };
  int moves = 0;
  for (int comparison = 0; comparison < 1000; ++comparison) {
    const double local = measure();
    const double peer = measure();
    const std::vector<shard_load> shards(40,
                                         shard_load{ 0, local / 40, false });
    const double noise =
      LoadNoise(local, peer, std::chrono::milliseconds(500), aWindow);
    moves += ChooseShardsToMove({ shards, peer, {}, 1, noise }).empty() ? 0 : 1;
  }
  return moves;
}

BOOST_AUTO_TEST_CASE(moves_hardly_anything_between_equal_servers)
{
  BOOST_CHECK_LE(MovesBetweenEqualServers(7, 2, std::chrono::seconds(2)), 5);
  BOOST_CHECK_LE(MovesBetweenEqualServers(7, 16, std::chrono::seconds(16)), 5);
  BOOST_CHECK_LE(MovesBetweenEqualServers(1, 2, std::chrono::seconds(2)), 5);
}

BOOST_AUTO_TEST_CASE(does_not_hide_a_hot_key)
{
  const std::vector<shard_load> shards(40, shard_load{ 0, 0.4, false });
  const double noise = LoadNoise(
    16, 5, std::chrono::milliseconds(500), std::chrono::milliseconds(2500));
  BOOST_CHECK(!ChooseShardsToMove({ shards, 5, {}, 1, noise }).empty());
}

BOOST_AUTO_TEST_CASE(hides_less_over_a_longer_time)
{
  const auto noise = [](duration aWindow) {
    return LoadNoise(8, 6, std::chrono::milliseconds(500), aWindow);
  };
  BOOST_CHECK_LT(noise(std::chrono::seconds(16)),
                 noise(std::chrono::seconds(4)) / 1.9);
  BOOST_CHECK_CLOSE(noise(std::chrono::milliseconds(10)), std::sqrt(14.0), 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
