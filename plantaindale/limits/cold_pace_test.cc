#include "plantaindale/limits/cold_pace.h"

#include <algorithm>
#include <vector>

#include "plantaindale/limits/rate_limit.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart{ seconds(100) };
constexpr duration kColdStart = seconds(3);

BOOST_AUTO_TEST_SUITE(the_cold_pace_of_a_server)

BOOST_AUTO_TEST_CASE(holds_until_the_first_heartbeat)
{
  cold_pace pace;
  BOOST_CHECK(pace.ColdUntil() == instant::max());
  pace.OnHeartbeat("a", duration(0), kColdStart, kStart);
  BOOST_CHECK(pace.ColdUntil() == kNever);
}

BOOST_AUTO_TEST_CASE(holds_as_long_as_the_server_says)
{
  cold_pace pace;
  pace.OnHeartbeat("a", milliseconds(2100), kColdStart, kStart);
  BOOST_CHECK(pace.ColdUntil() == kStart + milliseconds(2100));
  BOOST_TEST_CONTEXT("a warm server becomes cold again")
  {
    pace.OnHeartbeat("a", duration(0), kColdStart, kStart + seconds(1));
    BOOST_CHECK(pace.ColdUntil() == kNever);
    pace.OnHeartbeat("a", seconds(1), kColdStart, kStart + seconds(2));
    BOOST_CHECK(pace.ColdUntil() == kStart + seconds(3));
  }
}

BOOST_AUTO_TEST_SUITE(of_one_that_does_not_say)

BOOST_AUTO_TEST_CASE(holds_for_the_configured_time_after_its_start)
{
  cold_pace pace;
  pace.OnHeartbeat("a", std::nullopt, kColdStart, kStart);
  pace.OnHeartbeat("a", std::nullopt, kColdStart, kStart + seconds(1));
  BOOST_CHECK(pace.ColdUntil() == kStart + kColdStart);
  pace.OnHeartbeat("b", std::nullopt, kColdStart, kStart + seconds(60));
  BOOST_CHECK(pace.ColdUntil() == kStart + seconds(60) + kColdStart);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_an_evacuation)

BOOST_AUTO_TEST_CASE(holds_until_a_heartbeat_that_was_sent_since)
{
  cold_pace pace;
  pace.OnHeartbeat("a", duration(0), kColdStart, kStart);
  pace.OnEvacuationEnded(kStart + seconds(1));
  BOOST_CHECK(pace.ColdUntil() == instant::max());
  // May have been sent before the evacuation ended.
  pace.OnHeartbeat("a", duration(0), kColdStart, kStart + milliseconds(1900));
  BOOST_CHECK(pace.ColdUntil() == instant::max());
  pace.OnHeartbeat("a", seconds(2), kColdStart, kStart + milliseconds(2100));
  BOOST_CHECK(pace.ColdUntil() == kStart + milliseconds(4100));
}

BOOST_AUTO_TEST_CASE(ends_with_a_heartbeat_that_tells_no_cold_time)
{
  cold_pace pace;
  pace.OnHeartbeat("a", std::nullopt, kColdStart, kStart);
  pace.OnEvacuationEnded(kStart + seconds(10));
  pace.OnHeartbeat("a", std::nullopt, kColdStart, kStart + seconds(12));
  BOOST_CHECK(pace.ColdUntil() == kStart + seconds(12) + kColdStart);
}

BOOST_AUTO_TEST_SUITE_END()

// The load: many requests wait for a server that has just become cold.
BOOST_AUTO_TEST_CASE(lets_few_more_than_its_rate_start_in_any_second)
{
  constexpr double kPerSecond = 13;
  constexpr double kBound = kPerSecond * 1.5 + 8;
  rate_limit limit;
  limit.SetRate(kPerSecond, kStart);
  std::vector<instant> starts;
  for (instant now = kStart; now < kStart + seconds(5);
       now += milliseconds(1)) {
    while (limit.TryTake(now)) {
      starts.push_back(now);
    }
  }
  for (std::size_t first = 0; first < starts.size(); ++first) {
    const auto end = std::upper_bound(
      starts.begin(), starts.end(), starts[first] + seconds(1));
    const auto count = end - starts.begin() - static_cast<int>(first);
    BOOST_REQUIRE_LT(static_cast<double>(count), kBound * 0.75);
  }
  BOOST_CHECK_GE(starts.size(), 65u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
