#include "plantaindale/net/fiber_scheduler.h"

#include <chrono>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

class fiber_scheduler : public fibers::algo::algorithm
{
public:
  explicit fiber_scheduler(asio::io_context& aContext)
    : mContext(aContext)
    , mWork(asio::make_work_guard(aContext))
  {
  }

  void awakened(fibers::context* aFiber) noexcept override
  {
    aFiber->ready_link(mReady);
  }

  fibers::context* pick_next() noexcept override
  {
    if (mReady.empty()) {
      return nullptr;
    }
    fibers::context* next = &mReady.front();
    mReady.pop_front();
    return next;
  }

  bool has_ready_fibers() const noexcept override { return !mReady.empty(); }

  void suspend_until(
    const std::chrono::steady_clock::time_point& aUntil) noexcept override
  {
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      mContext.run_one();
    } else {
      mContext.run_one_until(aUntil);
    }
    // Run all other completed handlers in the same batch.
    mContext.poll();
  }

  void notify() noexcept override
  {
    asio::post(mContext, [] {});
  }

private:
  asio::io_context& mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  fibers::scheduler::ready_queue_type mReady;
};

} // namespace

void
InstallFiberScheduler(asio::io_context& aContext)
{
  fibers::use_scheduling_algorithm<fiber_scheduler>(aContext);
}

} // namespace plantaindale
