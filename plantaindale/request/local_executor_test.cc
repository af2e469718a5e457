#include "plantaindale/request/local_executor.h"

#include <thread>

#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A body whose first byte arrives late.
class late_body : public body_source
{
public:
  explicit late_body(duration aDelay)
    : mDelay(aDelay)
  {
  }
  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    boost::this_fiber::sleep_for(std::exchange(mDelay, duration(0)));
    return mRest.Read(aBuffer);
  }

private:
  duration mDelay;
  memory_body mRest{ "body" };
};

BOOST_AUTO_TEST_SUITE(requests_at_the_local_server)

BOOST_AUTO_TEST_CASE(request_is_not_sent_once_the_server_has_left)
{
  asio::io_context server_context;
  asio::ip::tcp::acceptor server(server_context,
                                 { asio::ip::address_v4::loopback(), 0 });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    routing_state state;
    state.Publish(std::make_shared<routing_snapshot>());
    const http_header_names names;
    local_executor executor(
      context, state, names, [] {}, [](const std::string&) {});
    announced_server leaving;
    leaving.mService = "board";
    leaving.mAddress = ToText(server.local_endpoint());
    leaving.mSlots = 1;
    leaving.mIsLeaving = true;
    const instant now = boot_clock::now();
    executor.SetServer(leaving, now + milliseconds(50));
    protocol::request_head head;
    head.service_name = "board";
    head.method = "POST";
    head.target = "/board/";
    head.shard = -1;
    head.body_bytes = 4;
    head.target_us = 1'000'000;
    late_body body(milliseconds(100));
    unused_sink sink;
    cancellation cancelled;
    result = executor.Run(head, now + milliseconds(500), body, sink, cancelled);
  }).join();
  BOOST_CHECK(result.mKind == outcome_kind::not_run);
  BOOST_CHECK_EQUAL(result.mStep, kHandOverStep);
  BOOST_CHECK_EQUAL(server.accept().available(), 0u);
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

BOOST_AUTO_TEST_CASE(request_is_not_sent_if_its_calls_would_find_no_room)
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
    const http_header_names names;
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
