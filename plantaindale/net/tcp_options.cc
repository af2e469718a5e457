#include "plantaindale/net/tcp_options.h"

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace plantaindale {
namespace {

// The connection fails if bytes stay unacknowledged for this time. It allows
// several retransmissions and exceeds the queueing delay of a congested link of
// 10 Mbit/s.
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
