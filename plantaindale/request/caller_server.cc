#include "plantaindale/request/caller_server.h"

#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/net/tcp_options.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

constexpr std::chrono::milliseconds kAcceptPause{ 20 };

} // namespace

caller_server::caller_server(boost::asio::io_context& aContext,
                             const routing_state& aRoutingState,
                             request_router& aRouter,
                             request_metrics& aMetrics,
                             const http_header_names& aHeaderNames,
                             std::string aLocalService)
  : mContext(aContext)
  , mServices{ aRoutingState,
               aRouter,
               aMetrics,
               aHeaderNames,
               request_resolver(aHeaderNames, std::move(aLocalService)) }
  , mAcceptor(aContext)
{
}

absl::Status
caller_server::Listen(std::string_view aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
  boost::system::error_code error;
  mAcceptor.non_blocking(true, error);
  if (error) {
    return MakeError(
      absl::StatusCode::kUnavailable, "listen", aAddress, error.message());
  }
  boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  return absl::OkStatus();
}

void
caller_server::StopAccepting()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
}

void
caller_server::EndBy(instant aRefuseFrom, instant aEndBy)
{
  mServices.mRefuseFrom = aRefuseFrom;
  mServices.mEndBy = aEndBy;
}

void
caller_server::AcceptLoop()
{
  for (;;) {
    AwaitIo([&](auto aHandler) {
      mAcceptor.async_wait(boost::asio::socket_base::wait_read,
                           std::move(aHandler));
    });
    if (!mAcceptor.is_open()) {
      return;
    }
    if (!AcceptAll()) {
      boost::this_fiber::sleep_for(kAcceptPause);
    }
  }
}

bool
caller_server::AcceptAll()
{
  for (;;) {
    tcp_socket socket(mContext);
    boost::system::error_code error;
    mAcceptor.accept(socket, error);
    if (error == boost::asio::error::would_block) {
      return true;
    }
    if (error) {
      return false;
    }
    SetRequestOptions(socket);
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      std::make_shared<caller_connection>(mServices, std::move(socket))
        ->Serve();
    }).detach();
  }
}

} // namespace plantaindale
