#include "plantaindale/base/log_rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kStart = instant(std::chrono::hours(1));

BOOST_AUTO_TEST_SUITE(log_rate_limiting)

BOOST_AUTO_TEST_CASE(suppresses_and_counts_excess_lines)
{
  log_rate_limiter limiter;
  int written = 0;
  for (int line = 0; line < 500; ++line) {
    written += limiter.TryAcquire("flood", kStart) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(written, static_cast<int>(log_rate_limiter::kBurst));
  const auto later =
    limiter.TryAcquire("flood", kStart + std::chrono::seconds(1));
  BOOST_REQUIRE(later.has_value());
  BOOST_CHECK_EQUAL(*later, 500 - written);
}

BOOST_AUTO_TEST_CASE(limits_each_event_separately)
{
  log_rate_limiter limiter;
  for (int line = 0; line < 500; ++line) {
    limiter.TryAcquire("flood", kStart);
  }
  BOOST_CHECK(limiter.TryAcquire("started", kStart) == 0);
}

BOOST_AUTO_TEST_CASE(counts_lines_that_could_not_be_written)
{
  log_rate_limiter limiter;
  BOOST_CHECK(limiter.TryAcquire("event", kStart) == 0);
  limiter.CountDropped("event", 0);
  BOOST_CHECK(limiter.TryAcquire("event", kStart) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
