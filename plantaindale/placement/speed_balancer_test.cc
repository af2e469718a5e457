#include "plantaindale/placement/speed_balancer.h"

#include <algorithm>
#include <array>
#include <random>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

constexpr int kSlots = 12;

std::vector<shard_load>
EqualShards(int aCount, double aLoad)
{
  std::vector<shard_load> shards;
  for (int shard = 0; shard < aCount; ++shard) {
    shards.push_back({ shard, aLoad / aCount, false });
  }
  return shards;
}

server_usage
Usage(double aLoad, double aSpeed)
{
  return { aLoad, kSlots, kSlots * aSpeed };
}

double
LoadOf(std::span<const shard_load> aShards,
       std::span<const std::size_t> aChosen)
{
  double load = 0;
  for (const std::size_t index : aChosen) {
    load += aShards[index].mLoad;
  }
  return load;
}

// Of equal shards that hold the local load.
double
LoadMoved(const server_usage& aLocal, const server_usage& aPeer)
{
  const auto shards = EqualShards(50, aLocal.mLoad);
  return LoadOf(shards, ChooseShardsBySpeed({ shards, aLocal, aPeer, {} }));
}

BOOST_AUTO_TEST_SUITE(balancing_by_speed)

BOOST_AUTO_TEST_CASE(moves_keys_to_faster_servers_only)
{
  BOOST_CHECK(RuleFor(Usage(4, 0.7), Usage(4, 1.6)) ==
              speed_rule::kMoveToFaster);
  BOOST_CHECK(RuleFor(Usage(4, 1.6), Usage(4, 0.7)) == speed_rule::kKeep);
}

BOOST_AUTO_TEST_CASE(leaves_equal_and_unknown_speeds_to_the_balance_of_loads)
{
  const auto goes_by_load = [](double aSpeed, double aPeerSpeed) {
    return RuleFor(Usage(4, aSpeed), Usage(1, aPeerSpeed)) ==
           speed_rule::kByLoad;
  };
  BOOST_CHECK(goes_by_load(1, 1.3));
  BOOST_CHECK(goes_by_load(1.3, 1));
  BOOST_CHECK(goes_by_load(0, 1.6));
  BOOST_CHECK(goes_by_load(1.6, 0));
  BOOST_CHECK(goes_by_load(0, 0));
}

BOOST_AUTO_TEST_CASE(leaves_servers_short_of_slots_to_the_balance_of_loads)
{
  BOOST_CHECK(RuleFor(Usage(10, 0.7), Usage(4, 1.6)) == speed_rule::kByLoad);
  BOOST_CHECK(RuleFor(Usage(10, 1.6), Usage(1, 0.7)) == speed_rule::kByLoad);
  BOOST_CHECK(RuleFor(Usage(9, 1.6), Usage(1, 0.7)) == speed_rule::kKeep);
}

BOOST_AUTO_TEST_CASE(a_server_with_free_slots_has_no_waiting_requests)
{
  BOOST_CHECK_CLOSE(ExpectedRequests(3, kSlots), 3, 1);
  BOOST_CHECK(ExpectedRequests(10, kSlots) > 13);
  BOOST_CHECK(ExpectedRequests(13, kSlots) > ExpectedRequests(12, kSlots) + 5);
  BOOST_CHECK_EQUAL(ExpectedRequests(0, kSlots), 0);
}

BOOST_AUTO_TEST_SUITE(with_free_slots)

BOOST_AUTO_TEST_CASE(moves_keys_from_a_slow_to_a_fast_server)
{
  const double moved = LoadMoved(Usage(7, 0.7), Usage(3, 1.6));
  BOOST_CHECK(moved > 2);
  // Not all of the free slots there, which others fill too.
  BOOST_CHECK(3 + moved * 0.7 / 1.6 < 5);
}

BOOST_AUTO_TEST_CASE(moves_nothing_to_a_fast_server_that_is_two_thirds_full)
{
  BOOST_CHECK_EQUAL(LoadMoved(Usage(5, 0.7), Usage(8, 1.6)), 0);
}

BOOST_AUTO_TEST_CASE(moves_nothing_for_a_small_gain)
{
  BOOST_CHECK_EQUAL(LoadMoved(Usage(0.8, 0.7), Usage(1, 1.6)), 0);
}

BOOST_AUTO_TEST_CASE(leaves_a_shard_that_would_fill_the_faster_server)
{
  std::vector<shard_load> shards = EqualShards(20, 0.2);
  shards[4].mLoad = 8;
  BOOST_CHECK(ChooseShardsBySpeed(
                { shards, Usage(TotalLoad(shards), 0.7), Usage(5, 1.6), {} })
                .empty());
}

BOOST_AUTO_TEST_CASE(leaves_shards_that_arrived_recently)
{
  std::vector<shard_load> shards = EqualShards(50, 7);
  for (shard_load& shard : shards) {
    shard.mWasRecentlyMoved = true;
  }
  BOOST_CHECK(
    ChooseShardsBySpeed({ shards, Usage(7, 0.7), Usage(3, 1.6), {} }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

// 39 servers of speeds 0.7, 0.7 and 1.6 with equal shares of the keys, whose
// load would take 151 of 468 slots of usual speed; each round, each hears of
// some others.
BOOST_AUTO_TEST_SUITE(many_servers_of_uneven_speed)

struct uneven_service
{
  struct server
  {
    double mSpeed = 1;
    std::vector<shard_load> mShards; // loads in slots of usual speed

    double Load() const { return TotalLoad(mShards) / mSpeed; }
    server_usage Usage() const { return { Load(), kSlots, kSlots * mSpeed }; }
  };

  explicit uneven_service(double aTotalLoad)
  {
    constexpr std::array<double, 3> kSpeeds{ 0.7, 0.7, 1.6 };
    constexpr int kShards = 2048;
    for (std::size_t i = 0; i < 39; ++i) {
      mServers.push_back({ kSpeeds[i % kSpeeds.size()], {} });
    }
    for (int shard = 0; shard < kShards; ++shard) {
      const auto owner =
        static_cast<std::size_t>(shard) * mServers.size() / kShards;
      mServers[owner].mShards.push_back({ shard, aTotalLoad / kShards, false });
    }
  }

  // Each node compares itself with three others, by their loads as of before.
  void Round()
  {
    std::vector<server_usage> told;
    for (const server& each : mServers) {
      told.push_back(each.Usage());
    }
    for (server& local : mServers) {
      for (int peers = 0; peers < 3; ++peers) {
        const std::size_t peer = mRandom() % mServers.size();
        if (Move(local, mServers[peer], told[peer])) {
          break;
        }
      }
    }
  }

  bool Move(server& aLocal, server& aPeer, const server_usage& aTold)
  {
    if (&aLocal == &aPeer ||
        RuleFor(aLocal.Usage(), aTold) != speed_rule::kMoveToFaster) {
      return false;
    }
    std::vector<shard_load> shards = aLocal.mShards;
    for (shard_load& shard : shards) {
      shard.mLoad /= aLocal.mSpeed;
    }
    auto chosen = ChooseShardsBySpeed({ shards, aLocal.Usage(), aTold, {} });
    std::sort(chosen.rbegin(), chosen.rend());
    for (const std::size_t index : chosen) {
      aPeer.mShards.push_back(aLocal.mShards[index]);
      aLocal.mShards.erase(aLocal.mShards.begin() +
                           static_cast<std::ptrdiff_t>(index));
    }
    mMoved += static_cast<int>(chosen.size());
    return !chosen.empty();
  }

  double CallersInProgress() const
  {
    double callers = 0;
    for (const server& each : mServers) {
      callers += ExpectedRequests(each.Load(), kSlots);
    }
    return callers;
  }

  double MaxUtilization() const
  {
    double most = 0;
    for (const server& each : mServers) {
      most = std::max(most, each.Load() / kSlots);
    }
    return most;
  }

  std::vector<server> mServers;
  std::mt19937_64 mRandom{ 3 };
  int mMoved = 0;
};

BOOST_AUTO_TEST_CASE(callers_wait_less_and_no_server_fills_up)
{
  uneven_service service(151);
  const double before = service.CallersInProgress();
  for (int round = 0; round < 8; ++round) {
    service.Round();
    BOOST_CHECK(service.MaxUtilization() < 0.8);
  }
  BOOST_TEST_MESSAGE("callers " << before << " to "
                                << service.CallersInProgress() << ", moved "
                                << service.mMoved);
  BOOST_CHECK(service.CallersInProgress() < 0.75 * before);
  BOOST_CHECK(service.mMoved < 0.7 * 2048);
}

BOOST_AUTO_TEST_CASE(moves_come_to_an_end)
{
  uneven_service service(151);
  for (int round = 0; round < 20; ++round) {
    service.Round();
  }
  const int moved = service.mMoved;
  for (int round = 0; round < 20; ++round) {
    service.Round();
  }
  BOOST_CHECK(service.mMoved - moved < 2048 / 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
