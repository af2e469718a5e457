// HttpCall makes one small HTTP/1.1 exchange, bodies held whole: for the
// platform, for backend servers' control endpoints and for operators. Callers'
// requests never pass here; they are streamed.
//
//   auto answer = HttpCall({ "127.0.0.1:7000", "GET", "/objects/node", "" });
//   if (answer.ok() && answer->mStatus == 200) { ... }
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include <boost/asio/io_context.hpp>

namespace plantaindale {

struct http_request
{
  std::string mPeer; // IP:PORT
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 2000 };
  bool mKeepAlive = true; // HttpCall never does
};

struct http_response
{
  int mStatus = 0;
  std::string mBody;
  std::vector<std::pair<std::string, std::string>> mFields = {};

  // The value of a header field, compared without case; empty when absent.
  std::string_view Field(std::string_view aName) const;
};

// Runs the exchange on the calling fiber; `aContext` is its thread's. Errors:
// kUnavailable when nothing was sent (the connection failed), kUnknown when the
// request may have reached the peer and no whole answer came.
absl::StatusOr<http_response>
HttpCall(boost::asio::io_context& aContext, const http_request& aRequest);

// The same from a thread without fibers, such as the command line's.
absl::StatusOr<http_response>
HttpCallBlocking(const http_request& aRequest);

} // namespace plantaindale
