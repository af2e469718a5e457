// AwaitIo suspends the calling fiber until an asynchronous operation on the
// io_context of its thread is complete.
//
//   io_result read = AwaitIo([&](auto aHandler) {
//     socket.async_read_some(buffer, std::move(aHandler));
//   });
//   if (read.mError) { ... }
#pragma once

#include <cstddef>
#include <utility>

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace plantaindale {

// The error code of an operation and the number of bytes transferred.
struct io_result
{
  boost::system::error_code mError;
  std::size_t mBytes = 0;
};

// Calls `aInitiate` with a completion handler to start the operation. The
// handler must be called on this thread and not before `aInitiate` returns;
// Asio guarantees both.
template<class initiate_type>
io_result
AwaitIo(initiate_type&& aInitiate)
{
  struct wait_state
  {
    boost::fibers::context* mFiber;
    io_result mResult;
    bool mDone = false;
  };
  wait_state state{ boost::fibers::context::active(), {}, false };
  std::forward<initiate_type>(aInitiate)(
    [&state](boost::system::error_code aError, std::size_t aBytes = 0) {
      state.mResult = { aError, aBytes };
      state.mDone = true;
      boost::fibers::context::active()->schedule(state.mFiber);
    });
  while (!state.mDone) {
    boost::fibers::context::active()->suspend();
  }
  return state.mResult;
}

} // namespace plantaindale
