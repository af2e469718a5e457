#include "plantaindale/request/peer_client.h"

#include <thread>

#include "plantaindale/net/await_io.h"
#include "plantaindale/net/codec.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
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

BOOST_AUTO_TEST_CASE(whose_sender_has_left_unnoticed_is_not_sent)
{
  asio::io_context peer_context;
  asio::ip::tcp::acceptor peer(peer_context,
                               { asio::ip::address_v4::loopback(), 0 });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    peer_client client(context);
    cancellation cancelled([] { return true; });
    memory_body body("");
    unused_sink sink;
    result = client.Run(ToText(peer.local_endpoint()),
                        protocol::request_head(),
                        boot_clock::now() + std::chrono::milliseconds(300),
                        body,
                        sink,
                        cancelled);
  }).join();
  BOOST_CHECK_EQUAL(result.mStep, kWithdrawnStep);
  BOOST_CHECK_EQUAL(peer.accept().available(), 0u);
}

constexpr std::int64_t kUploadBytes = 64 * 1024 * 1024;

// An upload that goes on until the request ends.
class endless_body : public body_source
{
public:
  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    std::fill(aBuffer.begin(), aBuffer.end(), 'u');
    return aBuffer.size();
  }
};

class accepting_sink : public unused_sink
{
public:
  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mStatus = aHead.status;
    return absl::OkStatus();
  }

  int mStatus = 0;
};

std::string
Framed(const protocol::traffic_frame& aFrame)
{
  const std::string bytes = Encode(aFrame);
  std::string framed(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(framed.data()),
                               static_cast<std::uint32_t>(bytes.size()));
  return framed + bytes;
}

// A response of the status with a part of its body, without an outcome.
std::string
PartOfResponse(int aStatus)
{
  protocol::answer_head head;
  head.request_id = 7;
  head.status = aStatus;
  head.body_bytes = -1;
  protocol::traffic_frame answer;
  answer.__set_answer(head);
  protocol::body_chunk chunk;
  chunk.request_id = 7;
  chunk.bytes = "part";
  protocol::traffic_frame part;
  part.__set_chunk(chunk);
  return Framed(answer) + Framed(part);
}

std::string
ReadyFrame()
{
  protocol::ready ready;
  ready.request_id = 7;
  protocol::traffic_frame go;
  go.__set_go(ready);
  return Framed(go);
}

// Runs request 7 at a node that sends `aBytes`, waits for a moment, and closes
// or resets the connection.
request_result
RunAt(std::string_view aBytes,
      body_source& aBody,
      std::int64_t aBodyBytes,
      bool aMustReset,
      accepting_sink& aSink)
{
  asio::io_context peer_context;
  asio::ip::tcp::acceptor peer(peer_context,
                               { asio::ip::address_v4::loopback(), 0 });
  std::thread peer_thread([&] {
    auto connection = peer.accept();
    asio::write(connection, asio::buffer(aBytes.data(), aBytes.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    if (aMustReset) {
      connection.set_option(asio::socket_base::linger(true, 0));
    }
    connection.close();
  });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    peer_client client(context);
    cancellation cancelled;
    protocol::request_head head;
    head.request_id = 7;
    head.body_bytes = aBodyBytes;
    head.await_ready = aBodyBytes > 0;
    result = client.Run(ToText(peer.local_endpoint()),
                        head,
                        boot_clock::now() + std::chrono::seconds(1),
                        aBody,
                        aSink,
                        cancelled);
  }).join();
  peer_thread.join();
  return result;
}

BOOST_AUTO_TEST_SUITE(whose_response_has_no_outcome)

BOOST_AUTO_TEST_CASE(are_broken_when_the_connection_ends)
{
  for (const bool must_reset : { false, true }) {
    memory_body no_body("");
    accepting_sink sink;
    const request_result result =
      RunAt(PartOfResponse(200), no_body, 0, must_reset, sink);
    BOOST_CHECK(result.mKind == outcome_kind::broken);
    BOOST_CHECK_EQUAL(sink.mStatus, 200);
  }
}

// The writer may be the one that gets the reset.
BOOST_AUTO_TEST_CASE(are_not_answered_when_the_connection_ends_under_the_upload)
{
  for (const bool must_reset : { false, true }) {
    endless_body upload;
    accepting_sink sink;
    const request_result result = RunAt(ReadyFrame() + PartOfResponse(200),
                                        upload,
                                        kUploadBytes,
                                        must_reset,
                                        sink);
    BOOST_CHECK_MESSAGE(result.mKind == outcome_kind::unknown ||
                          result.mKind == outcome_kind::broken,
                        ToText(result.mKind));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(whose_response_has_no_status_of_http_are_not_answered)
{
  for (const int status : { 0, 99, 100, 600, 1000, -1 }) {
    memory_body no_body("");
    accepting_sink sink;
    const request_result result =
      RunAt(PartOfResponse(status), no_body, 0, false, sink);
    BOOST_CHECK(result.mKind == outcome_kind::unknown);
    BOOST_CHECK_EQUAL(sink.mStatus, 0);
  }
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
