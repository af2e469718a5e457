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
#include "plantaindale/request/http_dialect.h"
#include "plantaindale/request/request_router.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// Belongs to the traffic thread.
class request_describer
{
public:
  // `aBesideService`: told to servers as where a request began. `aDialect`
  // must outlive this.
  request_describer(const http_dialect& aDialect, std::string aBesideService);

  // Fills `aRequest` from the head that the parser has read; a problem when the
  // request can't be taken.
  std::optional<caller_problem> Describe(const routing_snapshot& aSnapshot,
                                         caller_parser& aParser,
                                         routed_request& aRequest);

private:
  // What this node says in its own name replaces whatever the caller said.
  void SetOwnFields(protocol::request_head& aHead) const;
  std::optional<caller_problem> FindDeadline(const http::fields& aFields,
                                             const route_configuration& aRoute,
                                             routed_request& aRequest) const;

  const http_dialect& mDialect;
  std::string mBesideService;
  std::mt19937_64 mRandom; // for routes that split their traffic
};

} // namespace plantaindale
