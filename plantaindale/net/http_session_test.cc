#include "plantaindale/net/http_session.h"

#include <thread>

#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 500 };

// Runs `aBody` with a session and the address of a listener, on a thread with
// fibers. The listener accepts connections but does not answer by itself.
template<class body_type>
void
WithListener(body_type aBody)
{
  asio::io_context listener_context;
  asio::ip::tcp::acceptor listener(listener_context,
                                   { asio::ip::address_v4::loopback(), 0 });
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    http_session session(context);
    aBody(session, listener, ToText(listener.local_endpoint()));
  }).join();
}

BOOST_AUTO_TEST_SUITE(http_sessions)

BOOST_AUTO_TEST_SUITE(on_connecting)

BOOST_AUTO_TEST_CASE(tells_a_new_connection_from_one_that_is_used_again)
{
  WithListener([](http_session& aSession, auto&, const std::string& aPeer) {
    const auto first = aSession.EnsureConnected(aPeer, kTimeout);
    BOOST_CHECK(first.mStatus.ok() && first.mIsNew);
    const auto second = aSession.EnsureConnected(aPeer, kTimeout);
    BOOST_CHECK(second.mStatus.ok() && !second.mIsNew);
  });
}

// Guards against a grant that counts as confirmed by a second copy of an
// earlier confirmation.
BOOST_AUTO_TEST_CASE(does_not_use_a_connection_with_input_again)
{
  WithListener(
    [](http_session& aSession, auto& aListener, const std::string& aPeer) {
      BOOST_REQUIRE(aSession.EnsureConnected(aPeer, kTimeout).mStatus.ok());
      auto server = aListener.accept();
      asio::write(
        server,
        asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38));
      std::this_thread::sleep_for(milliseconds(50));
      const auto next = aSession.EnsureConnected(aPeer, kTimeout);
      BOOST_CHECK(next.mStatus.ok() && next.mIsNew);
    });
}

BOOST_AUTO_TEST_CASE(tells_that_nothing_listens)
{
  WithListener(
    [](http_session& aSession, auto& aListener, const std::string& aPeer) {
      aListener.close();
      const auto refused = aSession.EnsureConnected(aPeer, kTimeout);
      BOOST_CHECK(absl::IsUnavailable(refused.mStatus));
      BOOST_CHECK(refused.mWasRefused);
    });
}

BOOST_AUTO_TEST_SUITE_END()

// A process that has replaced the peer must not get a call that was meant for
// the peer.
BOOST_AUTO_TEST_CASE(call_on_a_closed_connection_does_not_open_another_one)
{
  WithListener(
    [](http_session& aSession, auto& aListener, const std::string& aPeer) {
      BOOST_REQUIRE(aSession.EnsureConnected(aPeer, kTimeout).mStatus.ok());
      aListener.accept().close();
      const auto answer =
        aSession.CallOnConnection({ aPeer, "GET", "/", "", kTimeout });
      BOOST_CHECK(!answer.ok());
      aListener.non_blocking(true);
      boost::system::error_code none_waits;
      aListener.accept(none_waits);
      BOOST_CHECK(none_waits == asio::error::would_block);
    });
}

// Guards against a part of an answer that is taken for all of it: the writer
// may be the one that gets the reset.
BOOST_AUTO_TEST_CASE(answer_that_ends_with_a_reset_connection_is_no_answer)
{
  WithListener(
    [](http_session& aSession, auto& aListener, const std::string& aPeer) {
      BOOST_REQUIRE(aSession.EnsureConnected(aPeer, kTimeout).mStatus.ok());
      std::thread server([&] {
        auto connection = aListener.accept();
        std::this_thread::sleep_for(milliseconds(50)); // the writer is blocked
        asio::write(connection,
                    asio::buffer("HTTP/1.1 200 OK\r\n\r\npart", 23));
        connection.set_option(asio::socket_base::linger(true, 0));
        connection.close();
      });
      const auto answer = aSession.CallOnConnection(
        { aPeer, "PUT", "/", std::string(32 * 1024 * 1024, 'b'), kTimeout });
      server.join();
      BOOST_CHECK(!answer.ok());
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
