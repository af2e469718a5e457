#include "plantaindale/request/caller_problem.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

std::string
RetryAfterOfRefusal(duration aRefusedFor)
{
  request_result result =
    MakeFailure(outcome_kind::not_run, kCrashesServersStep, "", "refused");
  result.mRefusedFor = aRefusedFor;
  const http_header_names names;
  return MakeResponse(ProblemOf(result), names)["Retry-After"];
}

BOOST_AUTO_TEST_SUITE(responses_of_failed_requests)

BOOST_AUTO_TEST_CASE(a_refusal_names_whole_seconds_until_its_end)
{
  using std::chrono::milliseconds;
  BOOST_CHECK_EQUAL(RetryAfterOfRefusal(milliseconds(1)), "1");
  BOOST_CHECK_EQUAL(RetryAfterOfRefusal(milliseconds(29'001)), "30");
  BOOST_CHECK_EQUAL(RetryAfterOfRefusal(std::chrono::hours(24)), "600");
  BOOST_CHECK_EQUAL(RetryAfterOfRefusal(instant::max() - boot_clock::now()),
                    "600");
}

BOOST_AUTO_TEST_CASE(an_overload_asks_to_return_soon)
{
  BOOST_CHECK_EQUAL(RetryAfterOfRefusal(duration(0)), "0.1");
}

BOOST_AUTO_TEST_CASE(an_overload_says_when_to_return_in_parts_of_a_second)
{
  const auto retry_after = [](duration aReturnIn) {
    request_result result =
      MakeFailure(outcome_kind::not_run, kAdmitStep, "", "no room");
    result.mReturnIn = aReturnIn;
    return std::string(
      MakeResponse(ProblemOf(result), http_header_names())["Retry-After"]);
  };
  BOOST_CHECK_EQUAL(retry_after(std::chrono::milliseconds(350)), "0.35");
  BOOST_CHECK_EQUAL(retry_after(std::chrono::milliseconds(1'239)), "1.23");
  BOOST_CHECK_EQUAL(retry_after(std::chrono::seconds(2)), "2");
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_does_not_ask_to_return)
{
  const http_header_names names;
  const auto answer =
    MakeResponse(ProblemOf(MakeFailure(
                   outcome_kind::unknown, kServerEndedStep, "", "ended")),
                 names);
  BOOST_CHECK_EQUAL(answer.result_int(), 504u);
  BOOST_CHECK_EQUAL(answer.count("Retry-After"), 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
