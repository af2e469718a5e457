// fiber_scheduler runs fibers and an Asio io_context on one thread. If no fiber
// is ready, the thread blocks in the io_context, so an idle process uses no CPU
// time.
//
//   asio::io_context io;
//   InstallFiberScheduler(io);   // fibers of this thread may now block
//   boost::fibers::fiber([] { ... }).detach();
#pragma once

#include <boost/asio/io_context.hpp>

namespace plantaindale {

// Makes the calling thread run its fibers together with `aContext`, which must
// outlive the thread's fibers. Call once per thread, before it starts a fiber.
void
InstallFiberScheduler(boost::asio::io_context& aContext);

} // namespace plantaindale
