#include "plantaindale/request/local_executor.h"

#include <thread>

#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

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

BOOST_AUTO_TEST_SUITE(of_a_service_with_a_cold_pace)

// The pace at a server of a service with a cold pace of `aPerSecond`, which is
// cold until `aColdUntil`.
std::optional<double>
PaceOf(double aPerSecond, instant aColdUntil)
{
  asio::io_context context(1);
  routing_state state;
  cluster_configuration configuration;
  service_configuration service;
  service.mName = "board";
  service.mColdStartsPerSecond = aPerSecond;
  configuration.mServices.push_back(service);
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->mConfiguration =
    std::make_shared<const cluster_configuration>(configuration);
  state.Publish(std::move(snapshot));
  const http_header_names names;
  local_executor executor(
    context, state, names, [] {}, [](const std::string&) {});
  announced_server server;
  server.mService = "board";
  server.mSlots = 1;
  executor.SetColdUntil(aColdUntil);
  executor.SetServer(server, instant::max());
  executor.UpdatePace();
  return executor.StartsPerSecond();
}

BOOST_AUTO_TEST_CASE(the_pace_holds_while_the_server_is_cold_or_unknown)
{
  const instant now = boot_clock::now();
  BOOST_CHECK(PaceOf(13, instant::max()) == 13);
  BOOST_CHECK(PaceOf(13, now + std::chrono::hours(1)) == 13);
  BOOST_CHECK(!PaceOf(13, now));
  BOOST_CHECK(!PaceOf(13, kNever));
}

BOOST_AUTO_TEST_CASE(no_pace_holds_where_none_is_configured)
{
  BOOST_CHECK(!PaceOf(0, instant::max()));
}

BOOST_AUTO_TEST_SUITE_END()

// The room that a request's result tells, beside a server of 4 slots whose
// response has this load field; empty: none.
server_room
RoomAfterResponse(const std::string& aLoad)
{
  asio::io_context server_context;
  asio::ip::tcp::acceptor acceptor(server_context,
                                   { asio::ip::address_v4::loopback(), 0 });
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    const std::string field = aLoad.empty() ? "" : "X-Load: " + aLoad + "\r\n";
    asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\n" + field +
                             "Content-Length: 0\r\n\r\n"));
  });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    routing_state state;
    state.Publish(std::make_shared<routing_snapshot>());
    http_header_names names;
    names.mServerLoad = "X-Load";
    local_executor executor(
      context, state, names, [] {}, [](const std::string&) {});
    announced_server announced;
    announced.mService = "board";
    announced.mAddress = ToText(acceptor.local_endpoint());
    announced.mSlots = 4;
    executor.SetServer(announced, instant::max());
    protocol::request_head head;
    head.service_name = "board";
    head.method = "GET";
    head.target = "/board/";
    head.shard = -1;
    head.target_us = 1'000'000;
    memory_body body("");
    unused_sink sink;
    cancellation cancelled;
    result = executor.Run(
      head, boot_clock::now() + milliseconds(500), body, sink, cancelled);
  }).join();
  server.join();
  BOOST_CHECK(result.IsAnswered());
  return result.mRoom;
}

BOOST_AUTO_TEST_CASE(results_tell_the_room_of_a_server_that_tells_its_load)
{
  const server_room room = RoomAfterResponse("3,2,4,100");
  BOOST_CHECK_EQUAL(room.mSlots, 4);
  BOOST_CHECK_EQUAL(room.mWaiting, 2);
  BOOST_CHECK(room.IsKnown(boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(without_a_credible_load_the_room_is_unknown)
{
  for (const char* load :
       { "", "3,2,0", "3,2,4", "3,2,400", "full", "-1,0,4" }) {
    BOOST_CHECK_EQUAL(RoomAfterResponse(load).mSlots, 0);
  }
}

// How many of two requests with the same value of Idempotency-Key reach the
// server, for a deployment that gives `aKeyField` the meaning of such a key.
int
RunsOfRepeatedKey(const std::string& aKeyField)
{
  asio::io_context server_context;
  asio::ip::tcp::acceptor acceptor(server_context,
                                   { asio::ip::address_v4::loopback(), 0 });
  int runs = 0;
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::string request;
    boost::system::error_code error;
    for (;;) {
      const std::size_t bytes = asio::read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
      if (error) {
        return;
      }
      request.erase(0, bytes);
      ++runs;
      asio::write(socket,
                  asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    }
  });
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    routing_state state;
    state.Publish(std::make_shared<routing_snapshot>());
    http_header_names names;
    names.mIdempotencyKey = aKeyField;
    local_executor executor(
      context, state, names, [] {}, [](const std::string&) {});
    announced_server announced;
    announced.mService = "board";
    announced.mAddress = ToText(acceptor.local_endpoint());
    announced.mSlots = 4;
    executor.SetServer(announced, instant::max());
    for (const char* attempt : { "first", "second" }) {
      protocol::request_head head;
      head.service_name = "board";
      head.method = "POST";
      head.target = "/board/";
      head.attempt_id = attempt;
      head.shard = -1;
      head.target_us = 1'000'000;
      protocol::header_field key;
      key.name = "Idempotency-Key";
      key.value = "order-1";
      head.fields.push_back(key);
      memory_body body("");
      unused_sink sink;
      cancellation cancelled;
      executor.Run(
        head, boot_clock::now() + milliseconds(500), body, sink, cancelled);
    }
  }).join();
  server.join();
  return runs;
}

BOOST_AUTO_TEST_CASE(a_field_without_meaning_to_the_deployment_answers_nothing)
{
  BOOST_CHECK_EQUAL(RunsOfRepeatedKey("Idempotency-Key"), 1);
  BOOST_CHECK_EQUAL(RunsOfRepeatedKey(""), 2);
  BOOST_CHECK_EQUAL(RunsOfRepeatedKey("X-Other-Key"), 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
