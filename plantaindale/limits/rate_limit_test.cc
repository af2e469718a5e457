#include "plantaindale/limits/rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kStart{ std::chrono::seconds(100) };

// Takes as many starts as possible within 4 s, trying each millisecond. With
// `aNamedAgain` the rate is set to it before each try.
int
StartsIn4Seconds(rate_limit& aLimit,
                 std::optional<double> aNamedAgain = std::nullopt)
{
  int starts = 0;
  for (instant now = kStart; now < kStart + std::chrono::seconds(4);
       now += std::chrono::milliseconds(1)) {
    if (aNamedAgain) {
      aLimit.SetRate(aNamedAgain, now);
    }
    while (aLimit.TryTake(now)) {
      ++starts;
    }
  }
  return starts;
}

BOOST_AUTO_TEST_SUITE(a_rate_limit)

BOOST_AUTO_TEST_CASE(allows_its_rate_and_a_short_burst)
{
  rate_limit limit;
  limit.SetRate(20, kStart);
  const int starts = StartsIn4Seconds(limit);
  BOOST_TEST(starts >= 80);
  BOOST_TEST(starts <= 86);
}

BOOST_AUTO_TEST_CASE(lets_single_requests_through_at_rate_0)
{
  rate_limit limit;
  limit.SetRate(0, kStart);
  const int starts = StartsIn4Seconds(limit);
  BOOST_TEST(starts >= 2);
  BOOST_TEST(starts <= 3);
}

BOOST_AUTO_TEST_CASE(does_not_start_over_when_it_is_named_again)
{
  rate_limit limit;
  const int starts = StartsIn4Seconds(limit, 20);
  BOOST_TEST(starts <= 86);
}

BOOST_AUTO_TEST_CASE(ends_with_the_rate)
{
  rate_limit limit;
  limit.SetRate(1, kStart);
  BOOST_CHECK(limit.TryTake(kStart));
  BOOST_CHECK(!limit.TryTake(kStart));
  limit.SetRate(std::nullopt, kStart);
  BOOST_CHECK(limit.TryTake(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
