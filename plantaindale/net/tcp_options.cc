#include "plantaindale/net/tcp_options.h"

#include <algorithm>
#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace plantaindale {
namespace {

// The connection fails if bytes stay unacknowledged for this time. It allows
// several retransmissions and exceeds the queueing delay of a congested link of
// 10 Mbit/s.
constexpr std::chrono::milliseconds kTcpUserTimeout{ 1500 };

// Bytes of a connection that the kernel takes beyond those that it can send.
constexpr int kMaxUnsentBytes = 32 * 1024;

using user_timeout =
  boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using unsent_limit =
  boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

} // namespace

void
SetRequestOptions(tcp_socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(user_timeout(static_cast<int>(kTcpUserTimeout.count())),
                     ignored);
  aSocket.set_option(unsent_limit(kMaxUnsentBytes), ignored);
}

void
AllowReadPause(tcp_socket& aSocket, std::chrono::milliseconds aTime)
{
  boost::system::error_code ignored;
  const auto timeout = std::max(aTime, kTcpUserTimeout);
  aSocket.set_option(user_timeout(static_cast<int>(timeout.count())), ignored);
}

bool
IsWritable(tcp_socket& aSocket)
{
  pollfd writable{ aSocket.native_handle(), POLLOUT, 0 };
  return ::poll(&writable, 1, 0) > 0;
}

} // namespace plantaindale
