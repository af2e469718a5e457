// hangup_watch notices that the other end of a connection has gone while its
// owner waits for something else.
//
//   hangup_watch watch(stream.socket(), [&] { cancellation.Cancel(); });
#pragma once

#include <functional>
#include <memory>

#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Watches for as long as it lives. The socket must not be read meanwhile. The
// action runs on the socket's thread, at most once, and must not wait.
class hangup_watch
{
public:
  hangup_watch(tcp_socket& aSocket, std::function<void()> aOnHangup);
  hangup_watch(const hangup_watch&) = delete;
  hangup_watch& operator=(const hangup_watch&) = delete;
  ~hangup_watch();

private:
  struct state
  {
    tcp_socket* mSocket; // null once the watch has ended
    std::function<void()> mOnHangup;
  };
  std::shared_ptr<state> mState;
};

// Whether the other end has closed the connection, or it has failed. Does not
// wait and takes no bytes.
bool
HasHungUp(tcp_socket& aSocket);

// Whether the other end has closed the connection, though bytes that it sent
// before may still wait to be read.
bool
HasBeenClosed(tcp_socket& aSocket);

// Whether the connection has input or has ended: either way it's of no use for
// another request, since no input is due.
bool
HasInputOrHungUp(tcp_socket& aSocket);

} // namespace plantaindale
