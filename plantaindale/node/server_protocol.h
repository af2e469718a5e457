// server_protocol is the form in which backend servers speak to the node
// beside them, and are told which keys they hold. It translates and decides
// nothing.
//
//   auto notice = protocol.ReadNotice(request);
//   http_request call = protocol.GrantCall(server, grant);
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

  // kNotFound: the call is no notice. kInvalidArgument: it can't be read.
  virtual absl::StatusOr<server_notice> ParseNotice(
    const http_server_request& aRequest) const = 0;

  // Path of the question whether the node takes callers.
  virtual std::string ReadinessPath() const = 0;

  // To a server that keeps grants.
  virtual http_request MakeGrantRequest(const announced_server& aServer,
                                        const key_grant& aGrant) const = 0;
  virtual http_request MakeReleaseRequest(const announced_server& aServer,
                                          const key_grant& aGrant) const = 0;
  // What the server gave for the keys' next holder.
  virtual std::string ParseHandover(const http_response& aAnswer) const = 0;
};

} // namespace plantaindale
