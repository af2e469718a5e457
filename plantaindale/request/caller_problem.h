// caller_problem is what a caller is told of a request without an answer.
#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/status.hpp>

namespace plantaindale {

struct caller_problem
{
  boost::beast::http::status mStatus = boost::beast::http::status::bad_request;
  std::string mTitle;
  std::string mDetail; // step, peer and reason
  std::string_view mOutcome = "not-run";
  bool mMayRetryLater = false;
};

} // namespace plantaindale
