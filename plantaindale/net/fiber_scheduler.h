// fiber_scheduler runs fibers and an Asio io_context on one thread. When no
// fiber is ready the thread sleeps inside the io_context, so that an idle
// process uses no processor time.
//
//   asio::io_context io;
//   InstallFiberScheduler(io);   // from now on fibers of this thread may wait
//   boost::fibers::fiber([] { ... }).detach();
#pragma once

#include <boost/asio/io_context.hpp>

namespace plantaindale {

// Makes the calling thread schedule its fibers together with `aContext`, which
// must outlive the thread's fibers. Call once on a thread, before any fiber.
void
InstallFiberScheduler(boost::asio::io_context& aContext);

} // namespace plantaindale
