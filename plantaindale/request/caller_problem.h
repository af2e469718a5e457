// caller_problem is the error response of a request that has no response from a
// backend server.
#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/status.hpp>

namespace plantaindale {

struct caller_problem
{
  boost::beast::http::status mStatus = boost::beast::http::status::bad_request;
  std::string mTitle;
  std::string mDetail; // step, peer and reason of the failure
  std::string_view mOutcome = "not-run";
  bool mMayRetryLater = false;
};

} // namespace plantaindale
