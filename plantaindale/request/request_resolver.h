// request_describer finds out by the configuration what a caller's request
// asks for: service, key, body, deadline.
//
//   routed_request request;
//   if (auto refused = describer.Describe(snapshot, parser, request)) { ... }
#pragma once

#include <optional>
#include <random>
#include <string>

#include "plantaindale/request/caller_body.h"
#include "plantaindale/request/caller_problem.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_router.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// Belongs to the traffic thread.
class request_resolver
{
public:
  // `aBesideService`: told to servers as where a request began. `aDialect`
  // must outlive this.
  request_resolver(const http_header_names& aHeaderNames,
                   std::string aLocalService);

  // Fills `aRequest` from the head that the parser has read; a problem when the
  // request can't be taken.
  std::optional<caller_problem> Resolve(const routing_snapshot& aSnapshot,
                                        caller_parser& aParser,
                                        routed_request& aRequest);

private:
  // What this node says in its own name replaces whatever the caller said.
  void SetRouterFields(protocol::request_head& aHead) const;
  std::optional<caller_problem> ResolveDeadline(
    const http::fields& aFields,
    const route_configuration& aRoute,
    routed_request& aRequest) const;

  const http_header_names& mHeaderNames;
  std::string mLocalService;
  std::mt19937_64 mRandom; // for routes that split their traffic
};

} // namespace plantaindale
