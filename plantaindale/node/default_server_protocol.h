// default_server_protocol is the built-in protocol: servers announce themselves
// by POST /announce with a JSON body. `instance` and `started_at` (Unix ms), if
// given, tell a server process from the former one at its address.
#pragma once

#include "plantaindale/node/server_protocol.h"

namespace plantaindale {

class default_server_protocol : public server_protocol
{
public:
  absl::StatusOr<server_notice> ParseNotice(
    const http_server_request& aRequest) const override;
  std::string ReadinessPath() const override { return "/ready"; }
  // {"from","to","fence","hold_ms","handover"} to /plantaindale/grant.
  http_request MakeGrantRequest(const announced_server& aServer,
                                const key_grant& aGrant) const override;
  // {"from","to","fence"} to /plantaindale/release.
  http_request MakeReleaseRequest(const announced_server& aServer,
                                  const key_grant& aGrant) const override;
  std::string ParseHandover(const http_response& aAnswer) const override;
};

} // namespace plantaindale
