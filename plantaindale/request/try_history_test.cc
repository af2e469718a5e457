#include "plantaindale/request/try_history.h"

#include "plantaindale/request/request_result.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

request_result
RefusedBy(std::string_view aServer)
{
  request_result refused = MakeFailure(
    outcome_kind::not_run, kServerRefusedStep, aServer, "status=503");
  refused.mWasSent = true;
  return refused;
}

BOOST_AUTO_TEST_SUITE(try_histories)

BOOST_AUTO_TEST_CASE(describe_each_try_with_its_evidence)
{
  try_history tries(false);
  tries.Add(RefusedBy("10.0.0.1:80"));
  tries.Add(MakeFailure(outcome_kind::not_run, kAdmitStep, "", "queue full"));
  BOOST_CHECK_EQUAL(tries.Text(),
                    "1: 10.0.0.1:80 server_refused not_run sent status=503; "
                    "2: - admit not_run queue full");
  BOOST_CHECK_EQUAL(tries.Sent(), 1);
}

BOOST_AUTO_TEST_CASE(are_bounded_in_length)
{
  try_history tries(false);
  for (int i = 0; i < kMaxDescribedTries; ++i) {
    tries.Add(RefusedBy("10.0.0.1:80"));
  }
  const std::string described = tries.Text();
  tries.Add(RefusedBy("10.0.0.2:80"));
  BOOST_CHECK_EQUAL(tries.Text(), described);
  BOOST_CHECK_EQUAL(tries.Sent(), kMaxDescribedTries + 1);
}

BOOST_AUTO_TEST_CASE(only_count_the_tries_of_an_idempotent_request)
{
  try_history tries(true);
  tries.Add(RefusedBy("10.0.0.1:80"));
  BOOST_CHECK_EQUAL(tries.Text(), "");
  BOOST_CHECK_EQUAL(tries.Sent(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
