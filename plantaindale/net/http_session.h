// http_session makes HTTP/1.1 calls to one peer over a persistent connection,
// for calls that are repeated many times per second.
//
//   http_session session(io);
//   auto response = session.Call({ "10.0.0.7:80", "POST", "/grant", body });
//
// A caller for which it matters that a call reaches the same process as the
// last one separates connecting from calling.
#pragma once

#include <chrono>
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

  struct connect_result
  {
    absl::Status mStatus;     // not OK: there is no connection
    bool mIsNew = false;      // opened by this call
    bool mWasRefused = false; // nothing listens at the address
  };
  // Opens a connection to the peer, IP:PORT, unless the last one can be used
  // again. One that has input can't: it would be taken for the next answer.
  connect_result EnsureConnected(const std::string& aPeer,
                                 std::chrono::milliseconds aTimeout);
  // Makes the call over the connection of the last EnsureConnected(), never
  // over another one. Errors as of HttpCall().
  absl::StatusOr<http_response> CallOnConnection(const http_request& aRequest);
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
