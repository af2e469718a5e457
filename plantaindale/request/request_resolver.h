// request_resolver determines the service, key, body limits and deadline of a
// caller's request from the configuration.
//
//   routed_request request;
//   if (auto refused = resolver.Resolve(snapshot, parser, arrived, request)) {
//     ...
//   }
#pragma once

#include <optional>
#include <random>
#include <string>

#include "plantaindale/limits/caller_budgets.h"
#include "plantaindale/request/caller_body.h"
#include "plantaindale/request/caller_problem.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_router.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale {

// Single-threaded.
class request_resolver
{
public:
  // `aLocalService` is sent to backend servers as the service on whose node the
  // request entered. `aHeaderNames` must outlive the resolver.
  request_resolver(const http_header_names& aHeaderNames,
                   std::string aLocalService);

  // Fills `aRequest` from the head that `aParser` has read, with its deadline
  // counted from `aArrivedAt`. Returns a problem if the request must be
  // refused.
  std::optional<caller_problem> Resolve(const routing_snapshot& aSnapshot,
                                        caller_parser& aParser,
                                        instant aArrivedAt,
                                        routed_request& aRequest);

private:
  // Replaces the fields that only the router may set, whatever the caller sent.
  void SetRouterFields(protocol::request_head& aHead) const;
  std::optional<caller_problem> ResolveDeadline(
    const http::fields& aFields,
    const route_configuration& aRoute,
    instant aArrivedAt,
    routed_request& aRequest);

  const http_header_names& mHeaderNames;
  std::string mLocalService;
  caller_budgets mBudgets;
  std::mt19937_64 mRandom; // for routes with a traffic split
};

} // namespace plantaindale
