#include "sessions/loopback_proxy.h"

#include <array>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/http_server.h"
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale::sessions {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kAddedDelay{ 120 };
// How often the proxy's main loop checks whether it must stop.
constexpr std::chrono::milliseconds kStopPollInterval{ 20 };

bool
IsBlocked(link_fault aFault, bool aIsRequest)
{
  return aFault == link_fault::kBlocked ||
         (aFault == link_fault::kNoRequests && aIsRequest) ||
         (aFault == link_fault::kNoResponses && !aIsRequest);
}

} // namespace

struct loopback_proxy::link
{
  explicit link(tcp_socket aCaller, asio::io_context& aContext)
    : mCaller(std::move(aCaller))
    , mTarget(aContext)
  {
  }

  // Closes both sockets with SO_LINGER 0, which discards unsent data, so that
  // both peers see a connection reset.
  void Reset()
  {
    boost::system::error_code ignored; // the socket may be closed already
    for (tcp_socket* end : { &mCaller, &mTarget }) {
      end->set_option(asio::socket_base::linger(true, 0), ignored);
      end->close(ignored);
    }
  }

  tcp_socket mCaller;
  tcp_socket mTarget;
};

loopback_proxy::loopback_proxy(std::string aListen, std::string aTarget)
  : mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mContext(1)
  , mThread([this] { Run(); })
{
}

loopback_proxy::~loopback_proxy()
{
  mMustStop = true;
  mThread.join();
}

void
loopback_proxy::Run()
{
  InstallFiberScheduler(mContext);
  asio::ip::tcp::acceptor acceptor(mContext);
  if (!BindListener(acceptor, mListen).ok()) {
    return; // connections to the address are refused
  }
  boost::fibers::fiber([&] { AcceptLoop(acceptor); }).detach();
  while (!mMustStop) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  boost::system::error_code ignored;
  acceptor.close(ignored);
  // Lets the fibers of open connections see mMustStop and end.
  boost::this_fiber::sleep_for(4 * kStopPollInterval);
}

void
loopback_proxy::AcceptLoop(asio::ip::tcp::acceptor& aAcceptor)
{
  while (!mMustStop) {
    tcp_socket caller(mContext);
    const io_result accepted = AwaitIo([&](auto aHandler) {
      aAcceptor.async_accept(caller, std::move(aHandler));
    });
    if (accepted.mError) {
      return;
    }
    boost::fibers::fiber([this, caller = std::move(caller)]() mutable {
      const auto connection =
        std::make_shared<link>(std::move(caller), mContext);
      const io_result connected = AwaitIo([&](auto aHandler) {
        connection->mTarget.async_connect(*ParseEndpoint(mTarget),
                                          std::move(aHandler));
      });
      if (connected.mError) {
        connection->Reset();
        return;
      }
      boost::fibers::fiber([this, connection] {
        Forward(connection, false);
      }).detach();
      Forward(connection, true);
    }).detach();
  }
}

void
loopback_proxy::Forward(const std::shared_ptr<link>& aLink, bool aIsRequest)
{
  tcp_socket& from = aIsRequest ? aLink->mCaller : aLink->mTarget;
  tcp_socket& to = aIsRequest ? aLink->mTarget : aLink->mCaller;
  std::array<char, kBufferBytes> buffer;
  boost::system::error_code closed;
  from.non_blocking(true, closed);
  while (!mMustStop && !closed) {
    const link_fault fault = mFault;
    if (fault == link_fault::kReset) {
      aLink->Reset();
      return;
    }
    boost::system::error_code error;
    const std::size_t got = IsBlocked(fault, aIsRequest)
                              ? 0
                              : from.read_some(asio::buffer(buffer), error);
    if (got == 0 && (!error || error == asio::error::would_block)) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      continue;
    }
    if (fault == link_fault::kDelay) {
      boost::this_fiber::sleep_for(kAddedDelay);
    }
    const io_result sent = AwaitIo([&](auto aHandler) {
      asio::async_write(to, asio::buffer(buffer, got), std::move(aHandler));
    });
    if (error || sent.mError) {
      boost::system::error_code ignored;
      to.shutdown(asio::socket_base::shutdown_send, ignored);
      return;
    }
  }
  aLink->Reset();
}

} // namespace plantaindale::sessions
