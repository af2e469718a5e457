#include "plantaindale/net/hangup_watch.h"

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace plantaindale {
namespace {

enum class input_state
{
  kNone,
  kReadable, // bytes can be read
  kEnded     // end of input or error, with no unread bytes before it
};

// Checks the input of the connection without blocking or consuming bytes.
input_state
Peek(tcp_socket& aSocket)
{
  char byte = 0;
  const ssize_t got =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return input_state::kReadable;
  }
  const bool is_open = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_open ? input_state::kNone : input_state::kEnded;
}

} // namespace

hangup_watch::hangup_watch(tcp_socket& aSocket, std::function<void()> aOnHangup)
  : mState(std::make_shared<state>(state{ &aSocket, std::move(aOnHangup) }))
{
  aSocket.async_wait(boost::asio::socket_base::wait_read,
                     [state = mState](boost::system::error_code aError) {
                       const bool is_watched =
                         state->mSocket != nullptr && !aError;
                       if (is_watched && HasHungUp(*state->mSocket)) {
                         state->mOnHangup();
                       }
                     });
}

hangup_watch::~hangup_watch()
{
  boost::system::error_code ignored;
  mState->mSocket->cancel(ignored);
  mState->mSocket = nullptr;
}

bool
HasHungUp(tcp_socket& aSocket)
{
  return Peek(aSocket) == input_state::kEnded;
}

bool
HasBeenClosed(tcp_socket& aSocket)
{
  pollfd end{ aSocket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&end, 1, 0) > 0;
}

bool
HasInputOrHungUp(tcp_socket& aSocket)
{
  return Peek(aSocket) != input_state::kNone;
}

} // namespace plantaindale
