#include "plantaindale/limits/caller_budgets.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kFirst = instant(seconds(1000));

BOOST_AUTO_TEST_SUITE(caller_budgets_test)

BOOST_AUTO_TEST_CASE(a_returning_caller_allows_less_than_others)
{
  caller_budgets budgets;
  BOOST_CHECK(budgets.Note("r", seconds(2), kFirst) == duration(0));
  BOOST_CHECK(budgets.Note("r", milliseconds(1500), kFirst) ==
              milliseconds(500));
  BOOST_CHECK(budgets.Note("r", seconds(2), kFirst) == duration(0));
}

BOOST_AUTO_TEST_CASE(routes_are_told_apart)
{
  caller_budgets budgets;
  budgets.Note("r", seconds(2), kFirst);
  BOOST_CHECK(budgets.Note("s", seconds(1), kFirst) == duration(0));
}

BOOST_AUTO_TEST_CASE(a_caller_that_allows_far_less_has_a_budget_of_its_own)
{
  caller_budgets budgets;
  budgets.Note("r", seconds(60), kFirst);
  BOOST_CHECK(budgets.Note("r", seconds(2), kFirst) == duration(0));
}

BOOST_AUTO_TEST_CASE(forgets_budgets_that_are_no_longer_seen)
{
  caller_budgets budgets;
  budgets.Note("r", seconds(2), kFirst);
  BOOST_CHECK(budgets.Note("r", seconds(1), kFirst + seconds(31)) ==
              seconds(1));
  BOOST_CHECK(budgets.Note("r", seconds(1), kFirst + seconds(62)) ==
              duration(0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
