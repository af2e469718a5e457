// Socket options of connections that carry requests.
#pragma once

#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Sets TCP_NODELAY, so that small writes are sent immediately, and
// TCP_USER_TIMEOUT, so that the connection fails if the peer stops
// acknowledging bytes; nothing else detects this. Errors are ignored: on a
// socket that has failed already, the next operation reports it.
void
SetRequestOptions(tcp_socket& aSocket);

} // namespace plantaindale
