// http_session makes small HTTP/1.1 exchanges with one peer over a connection
// that it keeps: for calls that repeat many times a second.
//
//   http_session session(io);
//   auto answer = session.Call({ "10.0.0.7:80", "POST", "/grant", body });
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Belongs to one thread; one call at a time, which waits on its fiber.
class http_session
{
public:
  explicit http_session(boost::asio::io_context& aContext);

  // As HttpCall. A kept connection that the peer has closed is replaced.
  absl::StatusOr<http_response> Call(const http_request& aRequest);

private:
  boost::asio::io_context& mContext;
  std::unique_ptr<tcp_stream> mStream;
  std::string mPeer;
};

} // namespace plantaindale
