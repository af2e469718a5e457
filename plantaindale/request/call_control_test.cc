#include "plantaindale/request/call_control.h"

#include <thread>

#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/local_executor.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

protocol::request_head
Head(const std::string& aId,
     const std::string& aRoute,
     const std::string& aService)
{
  protocol::request_head head;
  head.attempt_id = aId;
  head.route = aRoute;
  head.service_name = aService;
  head.priority = 1;
  return head;
}

request_result
AnsweredBy(int aOutstanding, unsigned aStatus = 200)
{
  request_result result = Answered();
  result.mOutstanding = aOutstanding;
  result.mSlots = 6;
  result.mStatus = aStatus;
  return result;
}

request_result
NotRun(std::string_view aStep, int aOutstanding = -1)
{
  request_result result = MakeFailure(outcome_kind::not_run, aStep, "", "");
  result.mOutstanding = aOutstanding;
  result.mSlots = 6;
  return result;
}

// A node beside a server of the shop, whose browses call the stock.
struct shop_node
{
  // Runs browses whose calls end so.
  void Browse(int aCount, const request_result& aCallResult, bool aIsExpired)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = "id" + std::to_string(mNextId++);
      const call_control::run run(mCalls, Head(id, "browse", "shop"));
      const auto call = Head(id + ".1", "stock-check", "stock");
      BOOST_REQUIRE(mCalls.IsCall(call.attempt_id));
      mCalls.OnCall(call);
      mCalls.OnCallEnd(call, aCallResult, aIsExpired);
    }
  }
  // Runs orders, which make no calls.
  void Order(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = "id" + std::to_string(mNextId++);
      const call_control::run run(mCalls, Head(id, "order", "shop"));
    }
  }
  int CountRefused(const std::string& aRoute)
  {
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
      refused += mCalls.FindRefusal(Head("new", aRoute, "shop")) ? 1 : 0;
    }
    return refused;
  }

  call_control mCalls{ true };
  int mNextId = 0;
};

// Long enough for a round of call_admission.
void
Pause()
{
  const instant until = boot_clock::now() + milliseconds(650);
  while (boot_clock::now() < until) {
  }
}

BOOST_AUTO_TEST_SUITE(requests_that_make_calls)

BOOST_AUTO_TEST_CASE(are_not_run_while_their_calls_are_refused)
{
  const request_result refusals[] = { NotRun(kAdmitStep),
                                      NotRun(kAdmitCallsStep),
                                      NotRun(kServerRefusedStep, 5) };
  for (const request_result& refusal : refusals) {
    shop_node node;
    node.Order(20);
    node.Browse(20, refusal, false);
    Pause();
    node.Browse(20, refusal, false);
    BOOST_CHECK_GT(node.CountRefused("browse"), 30);
    BOOST_CHECK_EQUAL(node.CountRefused("order"), 0);
    BOOST_CHECK_EQUAL(node.CountRefused("other"), 0);
  }
}

BOOST_AUTO_TEST_CASE(are_refused_as_not_run_with_a_step_of_their_own)
{
  shop_node node;
  node.Browse(20, NotRun(kAdmitStep), false);
  Pause();
  node.Browse(20, NotRun(kAdmitStep), false);
  std::optional<request_result> refusal;
  for (int i = 0; i < 100 && !refusal; ++i) {
    refusal = node.mCalls.FindRefusal(Head("new", "browse", "shop"));
  }
  BOOST_REQUIRE(refusal);
  BOOST_CHECK(refusal->mKind == outcome_kind::not_run);
  BOOST_CHECK_EQUAL(refusal->mStep, kAdmitCallsStep);
  BOOST_CHECK(!refusal->mWasSent);
  BOOST_CHECK(refusal->mReason.find("stock") != std::string::npos);
  BOOST_CHECK(node.mCalls.ToPrometheus().find(
                "plantaindale_calls_throttled_total{called=\"stock\"} ") !=
              std::string::npos);
}

BOOST_AUTO_TEST_CASE(are_run_if_they_are_calls_themselves)
{
  shop_node node;
  node.Browse(20, NotRun(kAdmitStep), false);
  Pause();
  node.Browse(20, NotRun(kAdmitStep), false);
  auto call = Head("new", "browse", "shop");
  call.is_call = true;
  for (int i = 0; i < 100; ++i) {
    BOOST_CHECK(!node.mCalls.FindRefusal(call));
  }
}

BOOST_AUTO_TEST_CASE(are_not_run_while_their_calls_expire)
{
  shop_node node;
  const auto expired = MakeFailure(outcome_kind::unknown, "receive", "", "");
  node.Browse(20, expired, true);
  Pause();
  node.Browse(20, expired, true);
  BOOST_CHECK_GT(node.CountRefused("browse"), 30);
}

BOOST_AUTO_TEST_CASE(are_run_while_their_calls_fail_for_other_reasons)
{
  const request_result failures[] = {
    AnsweredBy(2, 500),
    NotRun(kServerRefusedStep, 2), // though it has free slots
    NotRun(kHandOverStep),
    NotRun(kCrashesServersStep),
    MakeFailure(outcome_kind::unknown, "receive", "", ""),
    MakeFailure(outcome_kind::broken, "receive", "", "")
  };
  for (const request_result& failure : failures) {
    shop_node node;
    node.Browse(20, failure, false);
    Pause();
    node.Browse(20, failure, false);
    BOOST_CHECK_EQUAL(node.CountRefused("browse"), 0);
  }
}

BOOST_AUTO_TEST_CASE(are_run_while_their_calls_are_served)
{
  shop_node node;
  node.Browse(20, AnsweredBy(3), false);
  Pause();
  node.Browse(20, AnsweredBy(20), false);
  BOOST_CHECK_EQUAL(node.CountRefused("browse"), 0);
}

// Lets the executor see runs of the route whose calls are all refused.
void
RefuseCalls(call_control& aCalls, const protocol::request_head& aHead)
{
  for (int i = 0; i < 150; ++i) {
    const call_control::run run(aCalls, aHead);
    protocol::request_head call;
    call.attempt_id = aHead.attempt_id + ".1";
    call.service_name = "stock";
    BOOST_CHECK(aCalls.IsCall(call.attempt_id));
    aCalls.OnCall(call);
    aCalls.OnCallEnd(
      call, MakeFailure(outcome_kind::not_run, kAdmitStep, "", ""), false);
    boost::this_fiber::sleep_for(milliseconds(10));
  }
}

BOOST_AUTO_TEST_CASE(are_not_sent_if_their_calls_would_find_no_room)
{
  asio::io_context server_context;
  asio::ip::tcp::acceptor server(server_context,
                                 { asio::ip::address_v4::loopback(), 0 });
  server.non_blocking(true);
  int refused_for_calls = 0;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    routing_state state;
    state.Publish(std::make_shared<routing_snapshot>());
    http_header_names names;
    names.mCallsNameParents = true;
    local_executor executor(
      context, state, names, [] {}, [](const std::string&) {});
    announced_server shop;
    shop.mService = "shop";
    shop.mAddress = ToText(server.local_endpoint());
    shop.mSlots = 1;
    const instant now = boot_clock::now();
    executor.SetServer(shop, instant::max());
    protocol::request_head head;
    head.service_name = "shop";
    head.attempt_id = "a1";
    head.route = "browse";
    head.method = "GET";
    head.target = "/shop/";
    head.shard = -1;
    head.target_us = 1'000'000;
    RefuseCalls(executor.Calls(), head);
    // Some pass to find room; they were cancelled and aren't sent either.
    for (int i = 0; i < 100; ++i) {
      memory_body body("");
      unused_sink sink;
      cancellation cancelled;
      cancelled.Cancel();
      const request_result result =
        executor.Run(head, now + seconds(5), body, sink, cancelled);
      BOOST_CHECK(result.mKind == outcome_kind::not_run);
      BOOST_CHECK(!result.mWasSent);
      refused_for_calls += result.mStep == kAdmitCallsStep ? 1 : 0;
    }
  }).join();
  BOOST_CHECK_GT(refused_for_calls, 50);
  boost::system::error_code error;
  server.accept(error);
  BOOST_CHECK(error == asio::error::would_block);
}

BOOST_AUTO_TEST_CASE(without_ids_that_name_parents_nothing_is_a_call)
{
  call_control calls(false);
  const call_control::run run(calls, Head("a", "browse", "shop"));
  BOOST_CHECK(!calls.IsCall("a.1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
