// caller_input reads the requests of a caller's connection: it waits for input,
// reads heads, and knows when the bytes arrived.
//
//   caller_input input(stream, { is_idle, on_hangup });
//   if (!input.AwaitBytes(idle_timeout) && !input.ReadHead(parser, limits)) {
//     ... the request arrived at input.ArrivedAt() ...
//   }
#pragma once

#include <functional>
#include <memory>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_stream.h"
#include "plantaindale/request/caller_body.h"
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plantaindale {

// Single-threaded. One read or wait at a time.
class caller_input
{
public:
  struct callbacks
  {
    // Whether the connection has no outstanding request.
    std::function<bool()> mIsIdle;
    // The caller has closed the connection.
    std::function<void()> mOnHangup;
  };

  caller_input(tcp_stream& aStream, callbacks aCallbacks);

  // Commands. Those that return an error code block the calling fiber.
  // Waits for the first bytes of a request. Ends with operation_aborted if the
  // connection has been idle for `aIdleTimeout`.
  boost::system::error_code AwaitBytes(duration aIdleTimeout);
  // Reads a request's head of at most `aMaxBytes` into `aParser`.
  boost::system::error_code ReadHead(caller_parser& aParser,
                                     std::size_t aMaxBytes,
                                     duration aTimeout);
  // Reads and ignores input until the caller closes the connection, for at most
  // `aTime`.
  void Discard(duration aTime);
  // Calls `aOnReady` once there is input or the connection has ended, unless
  // Cancel() is called before.
  void NotifyOfInput(std::function<void()> aOnReady);
  // Ends the read or wait under way with operation_aborted.
  void Cancel();
  // The connection has become idle.
  void MarkIdle() { mIdleSince = boot_clock::now(); }
  // Unread input has been waiting since, as far as is known.
  void MarkWaiting(instant aSince);
  // Others have read from the connection or from Http().
  void MarkRead();

  http_input& Http() { return mHttp; } // for the bodies

  // Queries.
  bool HasBytes() const { return mHttp.HasBytes(); }
  // The bytes that were read last had arrived by this time, as far as is known.
  instant ArrivedAt() const { return mArrivedAt; }
  instant ReadAt() const { return mReadAt; }

private:
  boost::system::error_code ReadMore();
  void ScheduleTimeout(duration aAfter);
  void OnTimer();

  tcp_stream& mStream;
  callbacks mCallbacks;
  http_input mHttp;
  boost::asio::cancellation_signal mCancel;
  boost::asio::steady_timer mTimer;
  std::int64_t mWaitNumber = 0;        // tells a wait from former ones
  instant mReadUntil = instant::max(); // max: until it is idle for too long
  duration mIdleTimeout{ 0 };
  instant mIdleSince;
  instant mArrivedAt;
  instant mReadAt;
  instant mWaitingSince = instant::max();
  // Handlers that are already queued don't outlive the object.
  std::shared_ptr<const bool> mIsAlive = std::make_shared<const bool>(true);
};

} // namespace plantaindale
