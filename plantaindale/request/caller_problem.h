// caller_problem is the error response of a request that has no response from a
// backend server.
//
//   const caller_problem problem = ProblemOf(result);
//   auto response = MakeResponse(problem, header_names);
#pragma once

#include <string>
#include <string_view>

#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_result.h"
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace plantaindale {

struct caller_problem
{
  boost::beast::http::status mStatus = boost::beast::http::status::bad_request;
  std::string mTitle;
  std::string mDetail; // step, peer and reason of the failure
  std::string_view mOutcome = "not-run";
  bool mMayRetryLater = false;
  duration mRetryAfter{ 0 }; // 0: as soon as a slot may be free
};

// The request was provably not run and may be sent again.
caller_problem
NotRunProblem(std::string aDetail);

// The problem of a result that is not answered.
caller_problem
ProblemOf(const request_result& aResult);

// The problem document (RFC 9457) with its outcome field. The caller sets
// whether the connection stays open, and prepares the payload.
boost::beast::http::response<boost::beast::http::string_body>
MakeResponse(const caller_problem& aProblem,
             const http_header_names& aHeaderNames);

} // namespace plantaindale
