#include "plantaindale/net/hangup_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

// Two ends of a connection on loopback.
struct connection
{
  connection()
    : mNear(mContext)
    , mFar(mContext)
  {
    asio::ip::tcp::acceptor acceptor(mContext,
                                     { asio::ip::address_v4::loopback(), 0 });
    mFar.connect(acceptor.local_endpoint());
    acceptor.accept(mNear);
  }

  // Returns once what the far end has done has arrived.
  void AwaitNews() { mNear.wait(asio::socket_base::wait_read); }

  asio::io_context mContext;
  tcp_socket mNear;
  tcp_socket mFar;
};

BOOST_AUTO_TEST_SUITE(of_a_connection_whose_other_end)

BOOST_AUTO_TEST_CASE(lives_nothing_is_said)
{
  connection pair;
  BOOST_CHECK(!HasBeenClosed(pair.mNear));
  BOOST_CHECK(!HasHungUp(pair.mNear));
  asio::write(pair.mFar, asio::buffer("request", 7));
  pair.AwaitNews();
  BOOST_CHECK(!HasBeenClosed(pair.mNear));
  BOOST_CHECK(HasInputOrHungUp(pair.mNear));
}

BOOST_AUTO_TEST_CASE(has_gone_it_is_seen_behind_what_was_sent)
{
  connection pair;
  asio::write(pair.mFar, asio::buffer("request", 7));
  pair.mFar.close();
  pair.AwaitNews();
  BOOST_CHECK(HasBeenClosed(pair.mNear));
  // The input alone doesn't tell.
  BOOST_CHECK(!HasHungUp(pair.mNear));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
