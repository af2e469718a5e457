// Socket options of connections that carry requests.
#pragma once

#include <chrono>

#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Sets TCP_NODELAY, so that small writes are sent immediately, and
// TCP_USER_TIMEOUT, so that the connection fails if the peer stops
// acknowledging bytes; nothing else detects this. Bounds the bytes that wait in
// the kernel for a peer that reads slowly. Errors are ignored: on a socket that
// has failed already, the next operation reports it.
void
SetRequestOptions(tcp_socket& aSocket);

// Lets the peer read nothing for `aTime`, or no longer than by
// SetRequestOptions() if it is shorter. To the kernel, a peer that doesn't read
// is like one that doesn't acknowledge bytes.
void
AllowReadPause(tcp_socket& aSocket, std::chrono::milliseconds aTime);

// Whether bytes can be written now. Does not block.
bool
IsWritable(tcp_socket& aSocket);

} // namespace plantaindale
