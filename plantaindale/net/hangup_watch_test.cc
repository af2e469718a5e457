#include "plantaindale/net/hangup_watch.h"

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

// A TCP connection over loopback.
struct connection
{
  connection()
    : mLocalSocket(mContext)
    , mRemoteSocket(mContext)
  {
    asio::ip::tcp::acceptor acceptor(mContext,
                                     { asio::ip::address_v4::loopback(), 0 });
    mRemoteSocket.connect(acceptor.local_endpoint());
    acceptor.accept(mLocalSocket);
  }

  // Blocks until bytes or the close of the remote socket have arrived.
  void WaitForInput() { mLocalSocket.wait(asio::socket_base::wait_read); }

  asio::io_context mContext;
  tcp_socket mLocalSocket;
  tcp_socket mRemoteSocket;
};

BOOST_AUTO_TEST_SUITE(hangup_detection)

BOOST_AUTO_TEST_CASE(open_connection_is_not_reported)
{
  connection pair;
  BOOST_CHECK(!HasBeenClosed(pair.mLocalSocket));
  BOOST_CHECK(!HasHungUp(pair.mLocalSocket));
  asio::write(pair.mRemoteSocket, asio::buffer("request", 7));
  pair.WaitForInput();
  BOOST_CHECK(!HasBeenClosed(pair.mLocalSocket));
  BOOST_CHECK(HasInputOrHungUp(pair.mLocalSocket));
}

BOOST_AUTO_TEST_CASE(close_is_detected_behind_unread_input)
{
  connection pair;
  asio::write(pair.mRemoteSocket, asio::buffer("request", 7));
  pair.mRemoteSocket.close();
  pair.WaitForInput();
  BOOST_CHECK(HasBeenClosed(pair.mLocalSocket));
  // HasHungUp() cannot see the close behind unread bytes.
  BOOST_CHECK(!HasHungUp(pair.mLocalSocket));
}

BOOST_AUTO_TEST_CASE(watch_reports_each_way_to_close_once)
{
  const auto close = [](connection& aPair) { aPair.mRemoteSocket.close(); };
  const auto reset = [](connection& aPair) {
    aPair.mRemoteSocket.set_option(asio::socket_base::linger(true, 0));
    aPair.mRemoteSocket.close();
  };
  const auto close_sending_half = [](connection& aPair) {
    aPair.mRemoteSocket.shutdown(asio::socket_base::shutdown_send);
  };
  for (const std::function<void(connection&)>& leave :
       { std::function<void(connection&)>(close),
         std::function<void(connection&)>(reset),
         std::function<void(connection&)>(close_sending_half) }) {
    for (const auto mode :
         { hangup_watch::mode::kExclusive, hangup_watch::mode::kShared }) {
      connection pair;
      int reports = 0;
      const hangup_watch watch(
        pair.mLocalSocket, [&] { ++reports; }, mode);
      pair.mContext.run_for(std::chrono::milliseconds(50));
      BOOST_CHECK_EQUAL(reports, 0);
      leave(pair);
      pair.mContext.run_for(std::chrono::milliseconds(200));
      BOOST_CHECK_EQUAL(reports, 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(watch_that_begins_after_the_close_reports_it)
{
  for (const auto mode :
       { hangup_watch::mode::kExclusive, hangup_watch::mode::kShared }) {
    connection pair;
    pair.mRemoteSocket.close();
    pair.WaitForInput();
    bool has_gone = false;
    const hangup_watch watch(
      pair.mLocalSocket, [&] { has_gone = true; }, mode);
    pair.mContext.run_for(std::chrono::milliseconds(50));
    BOOST_CHECK(has_gone);
  }
}

BOOST_AUTO_TEST_CASE(watch_reports_a_close_behind_unread_input)
{
  for (const auto mode :
       { hangup_watch::mode::kExclusive, hangup_watch::mode::kShared }) {
    connection pair;
    bool has_gone = false;
    const hangup_watch watch(
      pair.mLocalSocket, [&] { has_gone = true; }, mode);
    asio::write(pair.mRemoteSocket, asio::buffer("request", 7));
    pair.mContext.run_for(std::chrono::milliseconds(50));
    BOOST_CHECK(!has_gone);
    pair.mRemoteSocket.close();
    pair.mContext.run_for(std::chrono::milliseconds(200));
    BOOST_CHECK(has_gone);
  }
}

BOOST_AUTO_TEST_CASE(shared_watch_leaves_the_input_to_its_reader)
{
  connection pair;
  bool has_gone = false;
  std::string input(7, ' ');
  std::size_t received = 0;
  {
    const hangup_watch watch(
      pair.mLocalSocket, [&] { has_gone = true; }, hangup_watch::mode::kShared);
    asio::async_read(pair.mLocalSocket,
                     asio::buffer(input),
                     [&](boost::system::error_code, std::size_t aBytes) {
                       received = aBytes;
                     });
    pair.mContext.run_for(std::chrono::milliseconds(150));
  }
  // The end of the watch does not cancel the read either.
  asio::write(pair.mRemoteSocket, asio::buffer("request", 7));
  pair.mContext.restart();
  pair.mContext.run_for(std::chrono::milliseconds(50));
  BOOST_CHECK_EQUAL(received, 7u);
  BOOST_CHECK(!has_gone);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
