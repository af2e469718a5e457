#include "plantaindale/base/log_budget.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kStart = instant(std::chrono::hours(1));

BOOST_AUTO_TEST_SUITE(lines_of_one_event)

BOOST_AUTO_TEST_CASE(are_left_out_in_a_flood_and_counted)
{
  log_budget budget;
  int written = 0;
  for (int line = 0; line < 500; ++line) {
    written += budget.Take("flood", kStart) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(written, static_cast<int>(log_budget::kBurst));
  const auto later = budget.Take("flood", kStart + std::chrono::seconds(1));
  BOOST_REQUIRE(later.has_value());
  BOOST_CHECK_EQUAL(*later, 500 - written);
}

BOOST_AUTO_TEST_CASE(leave_other_events_alone)
{
  log_budget budget;
  for (int line = 0; line < 500; ++line) {
    budget.Take("flood", kStart);
  }
  BOOST_CHECK(budget.Take("started", kStart) == 0);
}

BOOST_AUTO_TEST_CASE(that_couldnt_be_written_are_counted_too)
{
  log_budget budget;
  BOOST_CHECK(budget.Take("event", kStart) == 0);
  budget.Return("event", 0);
  BOOST_CHECK(budget.Take("event", kStart) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
