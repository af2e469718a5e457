#include "plantaindale/base/cancellation.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(cancellation_of_a_request)

BOOST_AUTO_TEST_CASE(runs_all_actions_that_exist)
{
  cancellation cancelled;
  int runs = 0;
  const cancellation::action outer(cancelled, [&] { runs += 1; });
  {
    const cancellation::action ended(cancelled, [&] { runs += 100; });
  }
  const cancellation::action inner(cancelled, [&] { runs += 10; });
  BOOST_CHECK(!cancelled.Check());
  cancelled.Cancel();
  BOOST_CHECK(cancelled.IsCancelled());
  BOOST_CHECK_EQUAL(runs, 11);
}

BOOST_AUTO_TEST_CASE(is_found_by_a_look_at_the_requester)
{
  bool has_gone = false;
  int looks = 0;
  cancellation cancelled([&] {
    ++looks;
    return has_gone;
  });
  int runs = 0;
  const cancellation::action stop(cancelled, [&] { ++runs; });
  BOOST_CHECK(!cancelled.Check());
  has_gone = true;
  BOOST_CHECK(!cancelled.IsCancelled());
  BOOST_CHECK(cancelled.Check());
  BOOST_CHECK(cancelled.Check());
  BOOST_CHECK_EQUAL(runs, 1);
  BOOST_CHECK_EQUAL(looks, 2);
}

BOOST_AUTO_TEST_SUITE(of_a_part)

BOOST_AUTO_TEST_CASE(leaves_the_whole_alone)
{
  cancellation whole;
  {
    cancellation part(&whole);
    part.Cancel();
    BOOST_CHECK(part.IsCancelled());
    BOOST_CHECK(!whole.Check());
  }
  whole.Cancel(); // the part has gone
  BOOST_CHECK(cancellation(&whole).IsCancelled());
}

BOOST_AUTO_TEST_CASE(comes_with_the_whole)
{
  bool has_gone = false;
  cancellation whole([&] { return has_gone; });
  cancellation part(&whole);
  int runs = 0;
  const cancellation::action stop(part, [&] { ++runs; });
  BOOST_CHECK(!part.Check());
  has_gone = true;
  BOOST_CHECK(part.Check());
  BOOST_CHECK(whole.IsCancelled());
  BOOST_CHECK_EQUAL(runs, 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
