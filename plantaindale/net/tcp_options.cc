#include "plantaindale/net/tcp_options.h"

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace plantaindale {
namespace {

// Bytes that aren't acknowledged for so long show that the connection is dead:
// several retransmissions, and more than a congested link of 10 Mbit/s holds.
constexpr std::chrono::milliseconds kTcpUserTimeout{ 1500 };

using user_timeout =
  boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void
SetRequestOptions(tcp_socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(user_timeout(static_cast<int>(kTcpUserTimeout.count())),
                     ignored);
}

} // namespace plantaindale
