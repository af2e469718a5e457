#include "plantaindale/limits/call_profile.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

double
CallsPerRun(const call_profile& aProfile,
            std::string_view aRoute,
            std::string_view aService)
{
  for (const expected_call& call : aProfile.CallsPerRun(aRoute)) {
    if (call.mService == aService) {
      return call.mCount;
    }
  }
  return 0;
}

// Keeps six requests running: most browse and call the stock, others order and
// call nobody.
class busy_server
{
public:
  static constexpr std::size_t kRunning = 6;

  explicit busy_server(call_profile& aProfile)
    : mProfile(aProfile)
  {
  }

  void Run(int aRuns, int aMaxBrowseCalls, int aOrderCalls)
  {
    for (int i = 0; i < aRuns; ++i) {
      const std::string id = "id" + std::to_string(mNextId++);
      const bool is_browse = mNextId % 4 != 0;
      mProfile.Begin(id, is_browse ? "browse" : "order");
      mRunning.push_back(id);
      const int calls =
        is_browse
          ? std::uniform_int_distribution<int>(0, aMaxBrowseCalls)(mRandom)
          : aOrderCalls;
      for (int call = 0; call < calls; ++call) {
        mProfile.OnCall(id + "." + std::to_string(call), "stock");
      }
      if (mRunning.size() > kRunning) {
        mProfile.End(mRunning.front());
        mRunning.erase(mRunning.begin());
      }
    }
  }

private:
  call_profile& mProfile;
  std::vector<std::string> mRunning;
  std::mt19937 mRandom{ 7 };
  int mNextId = 0;
};

BOOST_AUTO_TEST_SUITE(calls_per_run)

BOOST_AUTO_TEST_CASE(are_unknown_at_first)
{
  call_profile profile;
  BOOST_CHECK(profile.CallsPerRun("browse").empty());
  busy_server(profile).Run(12, 2, 0);
  BOOST_CHECK(profile.CallsPerRun("browse").empty());
}

BOOST_AUTO_TEST_CASE(are_told_apart_for_routes_that_run_beside_each_other)
{
  call_profile profile;
  busy_server(profile).Run(200, 2, 0);
  BOOST_CHECK_CLOSE(CallsPerRun(profile, "browse", "stock"), 1, 30);
  BOOST_CHECK(profile.CallsPerRun("order").empty());
}

BOOST_AUTO_TEST_CASE(follow_a_change_of_behaviour)
{
  call_profile profile;
  busy_server server(profile);
  server.Run(400, 2, 0);
  server.Run(800, 0, 2);
  BOOST_CHECK_SMALL(CallsPerRun(profile, "browse", "stock"), 0.01);
  BOOST_CHECK_CLOSE(CallsPerRun(profile, "order", "stock"), 2, 10);
}

BOOST_AUTO_TEST_CASE(are_told_apart_by_service)
{
  call_profile profile;
  for (int i = 0; i < 20; ++i) {
    profile.Begin("a", "browse");
    profile.OnCall("a.1", "stock");
    profile.OnCall("a.2", "prices");
    profile.OnCall("a.3", "prices");
    profile.End("a");
  }
  BOOST_CHECK_CLOSE(CallsPerRun(profile, "browse", "stock"), 1, 0.1);
  BOOST_CHECK_CLOSE(CallsPerRun(profile, "browse", "prices"), 2, 0.1);
}

BOOST_AUTO_TEST_CASE(are_known_for_a_bounded_number_of_routes)
{
  call_profile profile;
  for (int route = 0; route < 100; ++route) {
    for (int i = 0; i < 10; ++i) {
      profile.Begin("a", "route" + std::to_string(route));
      profile.OnCall("a.1", "stock");
      profile.End("a");
    }
  }
  BOOST_CHECK_EQUAL(profile.Routes(), 64u);
  BOOST_CHECK(profile.CallsPerRun("route0").empty());
  BOOST_CHECK(!profile.CallsPerRun("route99").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(calls_and_other_requests)

BOOST_AUTO_TEST_CASE(a_request_is_a_call_while_its_parent_runs)
{
  call_profile profile;
  BOOST_CHECK(!profile.IsCall("a.1"));
  BOOST_CHECK(profile.Begin("a", "browse"));
  BOOST_CHECK(profile.IsCall("a.1"));
  BOOST_CHECK(profile.IsCall("a.1"));
  profile.End("a");
  BOOST_CHECK(!profile.IsCall("a.2"));
}

BOOST_AUTO_TEST_CASE(a_request_with_another_id_is_none)
{
  call_profile profile;
  profile.Begin("a", "browse");
  for (const char* id : { "", ".", "a", "b", "b.1", "aa.1", ".a", "a.1.2" }) {
    BOOST_CHECK_MESSAGE(!profile.IsCall(id), id);
  }
}

BOOST_AUTO_TEST_CASE(a_call_may_make_calls)
{
  call_profile profile;
  profile.Begin("a.1", "stock-check");
  BOOST_CHECK(profile.IsCall("a.1.7"));
}

BOOST_AUTO_TEST_CASE(requests_without_an_id_have_no_calls)
{
  call_profile profile;
  BOOST_CHECK(!profile.Begin("", "browse"));
  BOOST_CHECK(!profile.IsCall(".1"));
}

BOOST_AUTO_TEST_CASE(a_second_run_with_the_same_id_is_left_out)
{
  call_profile profile;
  BOOST_CHECK(profile.Begin("a", "browse"));
  BOOST_CHECK(!profile.Begin("a", "browse"));
  profile.End("a");
  BOOST_CHECK(!profile.IsCall("a.1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
