#include "plantaindale/node/grant_binding.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

announced_server
ServerStartedAt(std::int64_t aStart)
{
  announced_server server;
  server.mInstance = "i-1";
  server.mStartedAt = aStart;
  return server;
}

grant_binding
BindingOf(std::int64_t aStart, std::int64_t aIncarnation)
{
  return { ServerStartedAt(aStart), MakeIdentity("n1", aIncarnation) };
}

BOOST_AUTO_TEST_SUITE(binding_of_grants)

BOOST_AUTO_TEST_SUITE(tokens)

BOOST_AUTO_TEST_CASE(rise_with_each_connection_and_stay_below_the_next_epoch)
{
  grant_binding binding = BindingOf(1, 1);
  BOOST_CHECK(!binding.Token(7).has_value());
  std::int64_t last = 0;
  for (int i = 0; i < grant_binding::kMaxConnections; ++i) {
    binding.AddConnection();
    const auto token = binding.Token(7);
    BOOST_REQUIRE(token.has_value());
    BOOST_REQUIRE_GT(*token, last);
    last = *token;
  }
  grant_binding next_owner = BindingOf(1, 1);
  next_owner.AddConnection();
  BOOST_CHECK_GT(next_owner.Token(8).value(), last);
}

BOOST_AUTO_TEST_CASE(are_not_made_once_the_numbers_are_used_up)
{
  grant_binding binding = BindingOf(1, 1);
  for (int i = 0; i < grant_binding::kMaxConnections + 2; ++i) {
    binding.AddConnection();
  }
  BOOST_CHECK(binding.IsUsedUp());
  BOOST_CHECK(!binding.Token(7).has_value());
}

BOOST_AUTO_TEST_CASE(are_not_made_above_what_json_keeps_exact)
{
  grant_binding binding = BindingOf(1, 1);
  binding.AddConnection();
  const std::int64_t highest =
    (kMaxStoredNumber >> grant_binding::kConnectionBits) - 1;
  BOOST_CHECK_LT(binding.Token(highest).value(), kMaxStoredNumber);
  BOOST_CHECK(!binding.Token(highest + 1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(numbers)

BOOST_AUTO_TEST_CASE(continue_within_an_incarnation_whatever_the_start)
{
  grant_binding first = BindingOf(1, 1);
  first.AddConnection();
  grant_binding second = BindingOf(2, 1);
  second.ContinueFrom(first);
  BOOST_CHECK(!second.IsSameStart(first));
  second.AddConnection();
  BOOST_CHECK_GT(second.Token(7).value(), first.Token(7).value());
}

BOOST_AUTO_TEST_CASE(begin_again_with_an_incarnation)
{
  grant_binding first = BindingOf(1, 1);
  first.AddConnection();
  grant_binding second = BindingOf(1, 2);
  second.ContinueFrom(first);
  BOOST_CHECK_EQUAL(second.Connection(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
