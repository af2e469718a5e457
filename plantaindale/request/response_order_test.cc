#include "plantaindale/request/response_order.h"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

constexpr std::size_t kMax = response_order::kMaxHeldBytes;

struct order_fixture
{
  look_ahead_budget mBudget;
  response_order mOrder{ mBudget };
};

BOOST_AUTO_TEST_SUITE(order_of_pipelined_responses)

BOOST_AUTO_TEST_CASE(responses_take_turns_in_the_order_of_the_requests)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto first = order.Add(true);
  const auto second = order.Add(true);
  BOOST_CHECK(order.IsTurn(first) && !order.IsTurn(second));
  BOOST_CHECK(order.HasLater(first) && !order.HasLater(second));
  order.Finish(first);
  BOOST_CHECK(order.IsTurn(second));
  order.Finish(second);
  BOOST_CHECK_EQUAL(order.Outstanding(), 0);
  BOOST_CHECK(order.IsTurn(order.Add(true)));
}

BOOST_AUTO_TEST_SUITE(look_ahead)

BOOST_AUTO_TEST_CASE(is_bounded_for_a_connection)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto first = order.Add(true);
  while (order.MayAdd(true)) {
    order.Add(true);
  }
  BOOST_CHECK_EQUAL(order.Outstanding(), response_order::kMaxOutstanding);
  order.Finish(first);
  BOOST_CHECK(order.MayAdd(true));
}

BOOST_AUTO_TEST_CASE(request_that_may_not_overlap_runs_alone)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto safe = order.Add(true);
  BOOST_CHECK(!order.MayAdd(false));
  order.Finish(safe);
  BOOST_CHECK(order.MayAdd(false));
  const auto alone = order.Add(false);
  BOOST_CHECK(!order.MayAdd(true) && !order.MayAdd(false));
  order.Finish(alone);
  BOOST_CHECK(order.MayAdd(true));
}

BOOST_AUTO_TEST_CASE(ends_behind_a_response_that_closes_the_connection)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  order.Add(true);
  order.Close();
  BOOST_CHECK(!order.MayAdd(true));
  order.Finish(0);
  BOOST_CHECK(!order.MayAdd(true) && !order.MayAdd(false));
}

BOOST_AUTO_TEST_CASE(pauses_while_the_first_response_is_sent)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto first = order.Add(true);
  order.BeginSending();
  BOOST_CHECK(!order.MayAdd(true));
  order.Finish(first);
  BOOST_CHECK(order.MayAdd(true));
}

BOOST_AUTO_TEST_CASE(is_bounded_for_a_process_but_a_single_request_always_runs)
{
  look_ahead_budget budget{ .mRequestsLeft = 3 };
  std::vector<std::unique_ptr<response_order>> connections;
  int added = 0;
  for (int i = 0; i < 5; ++i) {
    connections.push_back(std::make_unique<response_order>(budget));
    for (int j = 0; j < 3 && connections.back()->MayAdd(true); ++j) {
      connections.back()->Add(true);
      ++added;
    }
  }
  BOOST_CHECK_EQUAL(added, 5 + 3);
  connections.clear();
  BOOST_CHECK_EQUAL(budget.mRequestsLeft, 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(held_bytes)

BOOST_AUTO_TEST_CASE(are_bounded_and_stop_the_look_ahead)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto slow = order.Add(true);
  const auto large = order.Add(true);
  BOOST_CHECK(order.TryHold(large, kMax - 1));
  BOOST_CHECK(order.MayAdd(true));
  BOOST_CHECK(!order.TryHold(large, 2));
  BOOST_CHECK(order.TryHold(large, 1));
  BOOST_CHECK(!order.MayAdd(true));
  order.Finish(slow);
  BOOST_CHECK(!order.MayAdd(true));
  order.Finish(large);
  BOOST_CHECK(order.MayAdd(true));
}

BOOST_AUTO_TEST_CASE(of_the_first_response_have_room_of_their_own)
{
  order_fixture fixture;
  response_order& order = fixture.mOrder;
  const auto first = order.Add(true);
  const auto second = order.Add(true);
  BOOST_CHECK(order.TryHold(second, kMax));
  BOOST_CHECK(order.TryHold(first, response_order::kMaxFirstBytes));
  BOOST_CHECK(!order.TryHold(first, 1));
  order.Finish(first);
  BOOST_CHECK(order.TryHold(second, response_order::kMaxFirstBytes));
}

BOOST_AUTO_TEST_CASE(of_all_connections_are_bounded)
{
  look_ahead_budget budget{ .mBytesLeft = kMax + 10 };
  response_order first(budget);
  response_order second(budget);
  for (response_order* order : { &first, &second }) {
    order->Add(true);
    order->Add(true);
  }
  BOOST_CHECK(first.TryHold(1, kMax));
  BOOST_CHECK(!second.TryHold(1, 11));
  BOOST_CHECK(second.TryHold(1, 10));
  BOOST_CHECK(!second.MayAdd(true));
  first.Finish(0);
  first.Finish(1);
  BOOST_CHECK(second.MayAdd(true));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
