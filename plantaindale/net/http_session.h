// http_session makes HTTP/1.1 calls to one peer over a persistent connection,
// for calls that are repeated many times per second.
//
//   http_session session(io);
//   auto response = session.Call({ "10.0.0.7:80", "POST", "/grant", body });
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/net/tcp_stream.h"

namespace plantaindale {

// Belongs to one thread. Calls block the calling fiber; only one call may be in
// progress at a time.
class http_session
{
public:
  explicit http_session(boost::asio::io_context& aContext);

  // Same as HttpCall(). Reconnects if the peer has closed the connection.
  absl::StatusOr<http_response> Call(const http_request& aRequest);

  // Ends the call that is in progress, if any; it returns an error.
  void Cancel();

private:
  boost::asio::io_context& mContext;
  tcp_stream* mCalling = nullptr; // of the call in progress
  std::unique_ptr<tcp_stream> mStream;
  std::string mPeer;
};

} // namespace plantaindale
