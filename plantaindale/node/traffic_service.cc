#include "plantaindale/node/traffic_service.h"

#include <future>

#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/observe/request_metrics.h"
#include "plantaindale/request/caller_server.h"
#include "plantaindale/request/local_executor.h"
#include "plantaindale/request/peer_client.h"
#include "plantaindale/request/peer_server.h"
#include "plantaindale/request/request_router.h"
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

// How soon a request whose lease has lapsed is cut off.
constexpr std::chrono::milliseconds kLeaseCheckEvery{ 20 };

} // namespace

// What the traffic thread owns; touched by that thread only.
class traffic_service::parts
{
public:
  parts(const routing_state& aBoard,
        const traffic_settings& aSettings,
        std::function<void()> aOnNoServer,
        std::uint64_t aSeed)
    : mContext(1)
    , mExecutor(mContext, aBoard, aSettings.mDialect, std::move(aOnNoServer))
    , mPeers(mContext)
    , mRouter(aBoard, mExecutor, mPeers, aSettings.mRetries, aSeed)
    , mPeerServer(mContext, mExecutor)
    , mCallerServer(mContext,
                    aBoard,
                    mRouter,
                    mMetrics,
                    aSettings.mDialect,
                    aSettings.mBesideService)
  {
  }

  absl::Status Listen(const node_addresses& aAddresses)
  {
    if (absl::Status status = mPeerServer.Listen(aAddresses.mPeer);
        !status.ok()) {
      return status;
    }
    return mCallerServer.Listen(aAddresses.mCaller);
  }

  void GuardLease()
  {
    for (;;) {
      boost::this_fiber::sleep_for(kLeaseCheckEvery);
      mExecutor.CancelUnleased();
      mRouter.CancelLostAttempts();
    }
  }

  traffic_report TakeReport()
  {
    traffic_report report = mExecutor.TakeReport();
    report.mOutstanding += mCallerServer.Running();
    return report;
  }

  traffic_state Inspect() const
  {
    traffic_state state;
    state.mPrometheus = mMetrics.ToPrometheus();
    state.mSlots = mExecutor.Limiter().Slots();
    state.mRunning = mExecutor.Limiter().Running();
    state.mWaiting = mExecutor.Limiter().Waiting();
    state.mCallerRequests = mCallerServer.Running();
    state.mOutstanding = mExecutor.Outstanding();
    state.mRememberedKeys = mExecutor.Window().Size();
    state.mRetriesLeft = mRouter.RetriesLeft();
    state.mTypicalMicros = mExecutor.Limiter().TypicalTime().count();
    return state;
  }

  boost::asio::io_context mContext;
  local_executor mExecutor;
  peer_client mPeers;
  request_router mRouter;
  request_metrics mMetrics;
  peer_server mPeerServer;
  caller_server mCallerServer;
};

traffic_service::traffic_service(const routing_state& aBoard,
                                 const traffic_settings& aSettings,
                                 std::function<void()> aOnNoServer)
  : mBoard(aBoard)
  , mSettings(aSettings)
  , mOnNoServer(std::move(aOnNoServer))
{
}

// The process ends with its threads; a node is never destroyed earlier.
traffic_service::~traffic_service()
{
  if (mThread.joinable()) {
    mThread.detach();
  }
}

absl::Status
traffic_service::Start(const node_addresses& aAddresses, std::uint64_t aSeed)
{
  std::promise<absl::Status> started;
  std::future<absl::Status> listening = started.get_future();
  mParts = std::make_unique<parts>(mBoard, mSettings, mOnNoServer, aSeed);
  mThread = std::thread([parts = mParts.get(),
                         addresses = aAddresses,
                         started = std::move(started)]() mutable {
    InstallFiberScheduler(parts->mContext);
    const absl::Status status = parts->Listen(addresses);
    started.set_value(status);
    if (status.ok()) {
      parts->GuardLease();
    }
  });
  return listening.get();
}

void
traffic_service::Post(std::function<void(parts&)> aWork)
{
  boost::asio::post(
    mParts->mContext,
    [parts = mParts.get(), work = std::move(aWork)] { work(*parts); });
}

void
traffic_service::SetServer(std::optional<announced_server> aServer,
                           instant aServesUntil)
{
  Post([server = std::move(aServer), aServesUntil](parts& aParts) {
    aParts.mExecutor.SetServer(server, aServesUntil);
  });
}

void
traffic_service::Close(shard_id aShard, std::function<void()> aOnQuiet)
{
  Post([shard = std::move(aShard), quiet = std::move(aOnQuiet)](parts& aParts) {
    aParts.mExecutor.Close(shard, quiet);
  });
}

void
traffic_service::StopAccepting()
{
  Post([](parts& aParts) { aParts.mCallerServer.StopAccepting(); });
}

void
traffic_service::EndBy(instant aRefuseFrom, instant aEndBy)
{
  Post([aRefuseFrom, aEndBy](parts& aParts) {
    aParts.mCallerServer.EndBy(aRefuseFrom, aEndBy);
    aParts.mExecutor.EndBy(aEndBy);
  });
}

void
traffic_service::TakeReport(std::function<void(traffic_report)> aReceive)
{
  Post([receive = std::move(aReceive)](parts& aParts) {
    receive(aParts.TakeReport());
  });
}

void
traffic_service::Inspect(std::function<void(traffic_state)> aReceive)
{
  Post([receive = std::move(aReceive)](parts& aParts) {
    receive(aParts.Inspect());
  });
}

} // namespace plantaindale
