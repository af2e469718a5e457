// HttpCall makes one HTTP/1.1 call with the bodies held in memory. It is for
// calls to the platform, to control endpoints of backend servers and from
// operator tools. Requests of callers are streamed and do not use it.
//
//   auto response =
//     HttpCall(io, { "127.0.0.1:7000", "GET", "/objects/node", "" });
//   if (response.ok() && response->mStatus == 200) { ... }
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include <boost/asio/io_context.hpp>

namespace plantaindale {

// For mMaxResponseBytes of calls to a backend server, whose answers are short.
inline constexpr std::size_t kMaxServerAnswerBytes = 64 * 1024;

struct http_request
{
  std::string mPeer; // IP:PORT
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 2000 };
  bool mKeepAlive = true; // ignored by HttpCall, which never keeps it
  // A longer response body is an error.
  std::size_t mMaxResponseBytes = 16 * 1024 * 1024;
};

struct http_response
{
  int mStatus = 0;
  std::string mBody;
  std::vector<std::pair<std::string, std::string>> mFields = {};

  // Returns the value of a header field, or an empty text if it is absent. The
  // name is not case-sensitive.
  std::string_view Field(std::string_view aName) const;
};

// Makes the call on the calling fiber; `aContext` is the io_context of its
// thread. Errors: kUnavailable if the connection failed and nothing was sent;
// kUnknown if the request may have reached the peer, but no complete response
// was received.
absl::StatusOr<http_response>
HttpCall(boost::asio::io_context& aContext, const http_request& aRequest);

// Same, for threads without a fiber scheduler, such as those of command line
// tools.
absl::StatusOr<http_response>
HttpCallBlocking(const http_request& aRequest);

} // namespace plantaindale
