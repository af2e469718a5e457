// What every connection that carries requests is set to.
#pragma once

#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Small pieces leave at once, and a connection that has fallen silent fails:
// nothing else shows that bytes aren't taken any more. A socket that has failed
// already is left as it is; its next use says so.
void
SetRequestOptions(tcp_socket& aSocket);

} // namespace plantaindale
