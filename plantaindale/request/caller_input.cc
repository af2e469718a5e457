#include "plantaindale/request/caller_input.h"

#include <algorithm>
#include <utility>

#include "plantaindale/net/await_io.h"
#include <boost/asio/bind_cancellation_slot.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

} // namespace

caller_input::caller_input(tcp_stream& aStream, callbacks aCallbacks)
  : mStream(aStream)
  , mCallbacks(std::move(aCallbacks))
  , mTimer(aStream.get_executor())
  , mIdleSince(boot_clock::now())
  , mArrivedAt(mIdleSince)
  , mReadAt(mIdleSince)
{
}

boost::system::error_code
caller_input::AwaitBytes(duration aIdleTimeout)
{
  if (HasBytes()) {
    return {};
  }
  MarkIdle();
  mIdleTimeout = aIdleTimeout;
  mReadUntil = instant::max();
  ScheduleTimeout(aIdleTimeout);
  return ReadMore();
}

boost::system::error_code
caller_input::ReadHead(caller_parser& aParser,
                       std::size_t aMaxBytes,
                       duration aTimeout)
{
  mHttp.SetMaxHeadBytes(aMaxBytes);
  mReadUntil = boot_clock::now() + aTimeout;
  for (;;) {
    boost::system::error_code error = mHttp.ParseHead(mStream, aParser);
    if (error != http::error::need_more) {
      return error;
    }
    ScheduleTimeout(mReadUntil - boot_clock::now());
    error = ReadMore();
    if (error == asio::error::eof) {
      return http::error::partial_message;
    }
    if (error) {
      return error;
    }
  }
}

void
caller_input::Discard(duration aTime)
{
  mReadUntil = boot_clock::now() + aTime;
  do {
    mHttp.Clear();
    ScheduleTimeout(mReadUntil - boot_clock::now());
  } while (!ReadMore() && boot_clock::now() < mReadUntil);
}

boost::system::error_code
caller_input::ReadMore()
{
  const io_result read = AwaitIo([&](auto aHandler) {
    mStream.socket().async_read_some(
      mHttp.PrepareHead(),
      asio::bind_cancellation_slot(mCancel.slot(), std::move(aHandler)));
  });
  mTimer.cancel();
  if (read.mError) {
    if (read.mError != asio::error::operation_aborted) {
      mCallbacks.mOnHangup();
    }
    return read.mError;
  }
  mHttp.Commit(read.mBytes);
  MarkRead();
  mArrivedAt = std::min(mReadAt, std::exchange(mWaitingSince, instant::max()));
  return {};
}

void
caller_input::MarkRead()
{
  mReadAt = boot_clock::now();
  mArrivedAt = mReadAt;
}

void
caller_input::MarkWaiting(instant aSince)
{
  mWaitingSince = std::min(mWaitingSince, aSince);
}

void
caller_input::ScheduleTimeout(duration aAfter)
{
  mTimer.expires_after(std::max(aAfter, duration(0)));
  mTimer.async_wait(
    [this, alive = std::weak_ptr(mIsAlive)](boost::system::error_code aError) {
      if (!aError && !alive.expired()) {
        OnTimer();
      }
    });
}

// A connection is idle only while no request is outstanding.
void
caller_input::OnTimer()
{
  const instant now = boot_clock::now();
  const instant idle_since = mCallbacks.mIsIdle() ? mIdleSince : now;
  const instant end =
    mReadUntil < instant::max() ? mReadUntil : idle_since + mIdleTimeout;
  if (now < end) {
    ScheduleTimeout(end - now);
  } else {
    Cancel();
  }
}

void
caller_input::NotifyOfInput(std::function<void()> aOnReady)
{
  mStream.socket().async_wait(
    asio::socket_base::wait_read,
    asio::bind_cancellation_slot(
      mCancel.slot(),
      [this,
       alive = std::weak_ptr(mIsAlive),
       number = ++mWaitNumber,
       on_ready = std::move(aOnReady)](boost::system::error_code aError) {
        if (aError || alive.expired() || number != mWaitNumber) {
          return;
        }
        on_ready();
      }));
}

void
caller_input::Cancel()
{
  ++mWaitNumber;
  mCancel.emit(asio::cancellation_type::terminal);
}

} // namespace plantaindale
