// server_protocol translates between the HTTP messages of a backend server and
// the node's types. It makes no decisions.
//
//   auto notice = protocol.ParseNotice(request);
//   http_request call = protocol.MakeGrantRequest(server, grant);
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/node/key_grant.h"
#include "plantaindale/node/server_notice.h"

namespace plantaindale {

class server_protocol
{
public:
  virtual ~server_protocol() = default;

  // kNotFound: the request is not a notice. kInvalidArgument: it is malformed.
  virtual absl::StatusOr<server_notice> ParseNotice(
    const http_server_request& aRequest) const = 0;

  // Path of the readiness check.
  virtual std::string ReadinessPath() const = 0;

  // Requests to a server that keeps grants.
  virtual http_request MakeGrantRequest(const announced_server& aServer,
                                        const key_grant& aGrant) const = 0;
  virtual http_request MakeReleaseRequest(const announced_server& aServer,
                                          const key_grant& aGrant) const = 0;
  // The handover for the next holder, from the answer to a release.
  virtual std::string ParseHandover(const http_response& aAnswer) const = 0;
};

} // namespace plantaindale
