// hangup_watch detects that the peer has closed a connection while its owner
// waits for something else.
//
//   hangup_watch watch(stream.socket(), [&] { cancelled.Cancel(); });
#pragma once

#include <functional>
#include <memory>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Watches the socket for the lifetime of the object, also behind unread input.
// The callback runs on the socket's thread, at most once, and must not block;
// the constructor runs it if the connection has been closed already.
class hangup_watch
{
public:
  using on_hangup = std::function<void()>;

  enum class mode
  {
    // Nothing else reads the socket. A close is reported at once; behind unread
    // input within 100 ms.
    kExclusive,
    // The socket may be read meanwhile. A close is reported within 100 ms.
    kShared
  };

  hangup_watch(tcp_socket& aSocket,
               on_hangup aOnHangup,
               mode aMode = mode::kExclusive);
  hangup_watch(const hangup_watch&) = delete;
  hangup_watch& operator=(const hangup_watch&) = delete;
  ~hangup_watch();

  // When unread input was first seen; instant::max() if none was.
  instant InputSeenAt() const;

private:
  struct state;

  // Reports a close, or looks again later.
  static void Check(const std::shared_ptr<state>& aState);

  std::shared_ptr<state> mState;
};

// Whether the peer has closed the connection, or it has failed, and no unread
// bytes remain. Neither blocks nor consumes bytes.
bool
HasHungUp(tcp_socket& aSocket);

// Whether the peer has closed the connection, even if bytes that it sent before
// are still unread.
bool
HasBeenClosed(tcp_socket& aSocket);

// Whether the connection has input or has ended. An idle connection for which
// this is true cannot be reused, since no input is expected on it.
bool
HasInputOrHungUp(tcp_socket& aSocket);

} // namespace plantaindale
