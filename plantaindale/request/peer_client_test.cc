#include "plantaindale/request/peer_client.h"

#include <thread>

#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(peer_requests)

BOOST_AUTO_TEST_CASE(cancelled_while_connecting_is_not_sent)
{
  asio::io_context peer_context;
  asio::ip::tcp::acceptor peer(peer_context,
                               { asio::ip::address_v4::loopback(), 0 });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    peer_client client(context);
    cancellation cancelled;
    boost::fibers::fiber request([&] {
      protocol::request_head head;
      memory_body body("");
      unused_sink sink;
      result = client.Run(ToText(peer.local_endpoint()),
                          head,
                          boot_clock::now() + std::chrono::milliseconds(300),
                          body,
                          sink,
                          cancelled);
    });
    boost::fibers::fiber caller([&] { cancelled.Cancel(); });
    request.join();
    caller.join();
  }).join();
  BOOST_CHECK(result.mKind == outcome_kind::not_run);
  BOOST_CHECK_EQUAL(peer.accept().available(), 0u);
}

BOOST_AUTO_TEST_CASE(a_refusal_brings_the_time_until_room_is_expected)
{
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    asio::ip::tcp::acceptor peer(context,
                                 { asio::ip::address_v4::loopback(), 0 });
    const instant deadline = boot_clock::now() + std::chrono::seconds(2);
    boost::fibers::fiber refusing([&] {
      tcp_socket socket(context);
      AwaitIo(
        [&](auto aHandler) { peer.async_accept(socket, std::move(aHandler)); });
      frame_stream frames(tcp_stream(std::move(socket)), "client");
      const auto head = frames.Receive(deadline);
      protocol::traffic_frame refusal;
      protocol::request_outcome outcome;
      outcome.request_id = head->head.request_id;
      outcome.kind = outcome_kind::not_run;
      outcome.step = kAdmitStep;
      outcome.retry_after_us = 400'000;
      refusal.__set_outcome(outcome);
      BOOST_CHECK(frames.Send(refusal, deadline).ok());
    });
    peer_client client(context);
    protocol::request_head head;
    head.request_id = 7;
    memory_body body("");
    unused_sink sink;
    cancellation cancelled;
    result = client.Run(
      ToText(peer.local_endpoint()), head, deadline, body, sink, cancelled);
    refusing.join();
  }).join();
  BOOST_CHECK_EQUAL(result.mStep, kAdmitStep);
  BOOST_CHECK(result.mRoomIn == std::chrono::milliseconds(400));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
