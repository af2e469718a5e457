#include "plantaindale/observe/crash_dump.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::seconds;

const instant kStart{ std::chrono::hours(100) };

server_end
EndAt(instant aEndedAt, std::vector<interrupted_run> aRuns)
{
  server_end end;
  end.mService = "inventory";
  end.mInstance = "i-8133e77c05";
  end.mStartedAt = ToMicros(aEndedAt);
  end.mEndedAt = aEndedAt;
  end.mRuns = std::move(aRuns);
  return end;
}

BOOST_AUTO_TEST_SUITE(the_dump_of_crashes)

BOOST_AUTO_TEST_CASE(names_the_refused_request_first)
{
  crash_ledger ledger;
  for (int end = 0; end < 3; ++end) {
    const instant at = kStart + seconds(end);
    ledger.OnServerEnded(EndAt(at,
                               { { { 9, 9 }, "/deadly", "a", at },
                                 { { 1, 1 }, "/innocent", "b", at } }),
                         at);
    ledger.Clear({ 1, 1 }, at);
  }
  const instant now = kStart + seconds(10);
  const auto dumped = DumpCrashes(ledger, now).as_array();
  BOOST_REQUIRE_EQUAL(dumped.size(), 2u);
  const auto& first = dumped[0].as_object();
  BOOST_CHECK_EQUAL(first.at("target").as_string(), "/deadly");
  BOOST_CHECK_EQUAL(first.at("state").as_string(), "refused");
  BOOST_CHECK_EQUAL(first.at("refused_for_s").as_int64(), 592);
  BOOST_CHECK_EQUAL(first.at("counted_ends").as_int64(), 3);
  BOOST_CHECK_EQUAL(first.at("ends").as_array().size(), 3u);
  const std::string request(first.at("request").as_string());
  BOOST_CHECK(FingerprintFromText(request) == request_fingerprint({ 9, 9 }));
  const auto& second = dumped[1].as_object();
  BOOST_CHECK_EQUAL(second.at("state").as_string(), "cleared");
}

BOOST_AUTO_TEST_CASE(counts_ends_and_refusals)
{
  crash_control control("n1", "d1", 1);
  const cluster_view view;
  std::int64_t token = 1;
  action_list actions(token);
  for (int end = 0; end < 3; ++end) {
    const instant at = kStart + seconds(end);
    control.OnEvent(
      server_ended{ EndAt(at, { { { 9, 9 }, "/deadly", "a", at } }) },
      at,
      view,
      actions);
  }
  BOOST_CHECK_EQUAL(CrashMetrics(control),
                    "plantaindale_server_ends_total 3\n"
                    "plantaindale_crash_verdicts_total 1\n"
                    "plantaindale_crash_suspects 1\n"
                    "plantaindale_crash_refused_requests 1\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
