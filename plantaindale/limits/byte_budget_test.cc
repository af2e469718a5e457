#include "plantaindale/limits/byte_budget.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

constexpr std::size_t kBudget = 8 * 1024 * 1024;
constexpr std::size_t kPiece = 16 * 1024;
constexpr std::size_t kResponse = 500'000;

using shares = std::vector<std::unique_ptr<byte_budget::share>>;

// `aCount` responses of kResponse bytes whose callers read nothing, whose
// pieces come in turns.
shares
HoldResponses(byte_budget& aBudget, std::size_t aCount)
{
  shares responses;
  for (std::size_t i = 0; i < aCount; ++i) {
    responses.push_back(std::make_unique<byte_budget::share>(aBudget));
  }
  for (std::size_t sent = 0; sent < kResponse; sent += kPiece) {
    for (const auto& response : responses) {
      response->TryTake(kPiece);
    }
  }
  return responses;
}

BOOST_AUTO_TEST_SUITE(byte_budgets)

BOOST_AUTO_TEST_SUITE(of_few_slow_readers)

BOOST_AUTO_TEST_CASE(hold_whole_responses)
{
  byte_budget budget(kBudget);
  for (const auto& response : HoldResponses(budget, 8)) {
    BOOST_CHECK_GE(response->Held(), kResponse);
  }
  BOOST_CHECK_EQUAL(budget.Refusals(), 0);
}

BOOST_AUTO_TEST_CASE(let_none_take_what_others_may_need)
{
  byte_budget budget(kBudget);
  byte_budget::share endless(budget);
  while (endless.TryTake(kPiece)) {
  }
  BOOST_CHECK_LE(endless.Held(), kBudget / byte_budget::kParts);
  byte_budget::share next(budget);
  BOOST_CHECK(next.TryTake(kResponse));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_many_slow_readers)

BOOST_AUTO_TEST_CASE(stay_within_the_bound_and_treat_all_alike)
{
  byte_budget budget(kBudget);
  const shares responses = HoldResponses(budget, 200);
  BOOST_CHECK_LE(budget.MostHeld(), kBudget);
  const auto [least, most] = std::minmax_element(
    responses.begin(), responses.end(), [](const auto& aA, const auto& aB) {
      return aA->Held() < aB->Held();
    });
  BOOST_CHECK_GT((*least)->Held(), 0u);
  BOOST_CHECK_LE((*most)->Held() - (*least)->Held(), kPiece);
}

BOOST_AUTO_TEST_CASE(have_something_left_for_the_next)
{
  byte_budget budget(kBudget);
  const shares responses = HoldResponses(budget, 200);
  byte_budget::share next(budget);
  BOOST_CHECK(next.TryTake(kPiece));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(get_back_what_was_sent_and_what_has_ended)
{
  byte_budget budget(kBudget);
  {
    byte_budget::share first(budget);
    BOOST_CHECK(first.TryTake(3 * kPiece));
    first.Return(kPiece);
    BOOST_CHECK_EQUAL(budget.Held(), 2 * kPiece);
    first.Return(9 * kPiece);
    BOOST_CHECK_EQUAL(budget.Held(), 0u);
    BOOST_CHECK(first.TryTake(kPiece));
  }
  BOOST_CHECK_EQUAL(budget.Held(), 0u);
}

BOOST_AUTO_TEST_CASE(of_nothing_hold_nothing)
{
  byte_budget budget(0);
  byte_budget::share response(budget);
  BOOST_CHECK(!response.TryTake(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
