#include "plantaindale/net/hangup_watch.h"

#include <cerrno>
#include <chrono>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>

namespace plantaindale {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 100 };

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

struct hangup_watch::state
{
  tcp_socket* mSocket; // null after destruction of the watch
  on_hangup mOnHangup;
  mode mMode;
  boost::asio::steady_timer mTimer;
  instant mInputSeenAt = instant::max();
};

hangup_watch::hangup_watch(tcp_socket& aSocket, on_hangup aOnHangup, mode aMode)
  : mState(std::make_shared<state>(
      state{ &aSocket,
             std::move(aOnHangup),
             aMode,
             boost::asio::steady_timer(aSocket.get_executor()) }))
{
  if (aMode == mode::kShared || HasBeenClosed(aSocket)) {
    Check(mState);
    return;
  }
  aSocket.async_wait(boost::asio::socket_base::wait_read,
                     [state = mState](boost::system::error_code aError) {
                       if (!aError) {
                         Check(state);
                       }
                     });
}

void
hangup_watch::Check(const std::shared_ptr<state>& aState)
{
  if (aState->mSocket == nullptr) {
    return;
  }
  if (HasBeenClosed(*aState->mSocket)) {
    aState->mOnHangup();
    return;
  }
  if (aState->mInputSeenAt == instant::max() &&
      Peek(*aState->mSocket) == input_state::kReadable) {
    aState->mInputSeenAt = boot_clock::now();
  }
  aState->mTimer.expires_after(kCheckInterval);
  aState->mTimer.async_wait([aState](boost::system::error_code aError) {
    if (!aError) {
      Check(aState);
    }
  });
}

hangup_watch::~hangup_watch()
{
  if (mState->mMode == mode::kExclusive) {
    boost::system::error_code ignored;
    mState->mSocket->cancel(ignored);
  }
  mState->mTimer.cancel();
  mState->mSocket = nullptr;
}

instant
hangup_watch::InputSeenAt() const
{
  return mState->mInputSeenAt;
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
