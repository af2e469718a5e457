#include "plantaindale/net/hangup_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
