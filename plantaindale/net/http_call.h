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
};

struct http_answer
{
  int mStatus = 0;
  std::string mBody;
};

// Runs the exchange on the calling fiber; `aContext` is its thread's. Errors:
// kUnavailable when nothing was sent (the connection failed), kUnknown when the
// request may have reached the peer and no whole answer came.
absl::StatusOr<http_answer>
HttpCall(boost::asio::io_context& aContext, const http_request& aRequest);

// The same from a thread without fibers, such as the command line's.
absl::StatusOr<http_answer>
HttpCallBlocking(const http_request& aRequest);

} // namespace plantaindale
