#include "plantaindale/node/traffic_service.h"

#include <future>

#include "absl/strings/str_cat.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/observe/request_metrics.h"
#include "plantaindale/observe/room_metrics.h"
#include "plantaindale/observe/thread_monitor.h"
#include "plantaindale/request/caller_server.h"
#include "plantaindale/request/local_executor.h"
#include "plantaindale/request/peer_client.h"
#include "plantaindale/request/peer_server.h"
#include "plantaindale/request/request_router.h"
#include <boost/asio/post.hpp>

namespace plantaindale {
namespace {

// Bounds how long a request keeps running after the lease has expired.
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 20 };

} // namespace

// Objects owned and used by the traffic thread only.
class traffic_service::thread_state
{
public:
  thread_state(const routing_state& aRoutingState,
               const traffic_settings& aSettings,
               std::function<void()> aOnNoServer,
               std::function<void(std::string)> aOnLeaving,
               crash_callbacks aOnCrashes,
               std::uint64_t aSeed)
    : mContext(1)
    , mExecutor(mContext,
                aRoutingState,
                aSettings.mHeaderNames,
                std::move(aOnNoServer),
                std::move(aOnLeaving),
                std::move(aOnCrashes))
    , mPeers(mContext)
    , mRouter(aRoutingState, mExecutor, mPeers, aSettings.mRetries, aSeed)
    , mPeerServer(mContext, mExecutor)
    , mCallerServer(mContext,
                    aRoutingState,
                    mRouter,
                    mMetrics,
                    aSettings.mHeaderNames,
                    aSettings.mLocalService)
  {
    mExecutor.SetQueuesLate(aSettings.mQueuesLate);
  }

  absl::Status Listen(const node_addresses& aAddresses)
  {
    if (absl::Status status = mPeerServer.Listen(aAddresses.mPeer);
        !status.ok()) {
      return status;
    }
    return mCallerServer.Listen(aAddresses.mCaller);
  }

  void CheckLeaseLoop()
  {
    for (;;) {
      mMonitor.Sleep(kLeaseCheckInterval);
      mExecutor.CancelUnleased();
      mExecutor.UpdatePace();
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
    state.mPrometheus =
      absl::StrCat(mMetrics.ToPrometheus(),
                   mMonitor.ToPrometheus(),
                   "plantaindale_cold_starts_per_second ",
                   mExecutor.ColdPace().value_or(0),
                   "\n",
                   RoomToPrometheus(mExecutor.Room(), mExecutor.Capacity()),
                   mExecutor.Limiter().Metrics().ToPrometheus(),
                   mCallerServer.SlowReaders().ToPrometheus(),
                   mExecutor.Calls().ToPrometheus());
    state.mLongestDelayMicros = mMonitor.LongestDelay().count();
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

  thread_monitor mMonitor{ "traffic" };
  boost::asio::io_context mContext;
  local_executor mExecutor;
  peer_client mPeers;
  request_router mRouter;
  request_metrics mMetrics;
  peer_server mPeerServer;
  caller_server mCallerServer;
};

traffic_service::traffic_service(const routing_state& aRoutingState,
                                 const traffic_settings& aSettings,
                                 std::function<void()> aOnNoServer,
                                 std::function<void(std::string)> aOnLeaving,
                                 crash_callbacks aOnCrashes)
  : mRoutingState(aRoutingState)
  , mSettings(aSettings)
  , mOnNoServer(std::move(aOnNoServer))
  , mOnLeaving(std::move(aOnLeaving))
  , mOnCrashes(std::move(aOnCrashes))
{
}

// The thread is never joined: a node lives until the process exits.
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
  std::future<absl::Status> listen_result = started.get_future();
  mThreadState = std::make_unique<thread_state>(
    mRoutingState, mSettings, mOnNoServer, mOnLeaving, mOnCrashes, aSeed);
  mThread = std::thread([state = mThreadState.get(),
                         addresses = aAddresses,
                         started = std::move(started)]() mutable {
    InstallFiberScheduler(state->mContext);
    const absl::Status status = state->Listen(addresses);
    started.set_value(status);
    if (status.ok()) {
      state->CheckLeaseLoop();
    }
  });
  return listen_result.get();
}

void
traffic_service::Post(std::function<void(thread_state&)> aWork)
{
  boost::asio::post(
    mThreadState->mContext,
    [state = mThreadState.get(), work = std::move(aWork)] { work(*state); });
}

void
traffic_service::SetServer(std::optional<announced_server> aServer,
                           instant aServesUntil)
{
  Post([server = std::move(aServer), aServesUntil](thread_state& aState) {
    aState.mExecutor.SetServer(server, aServesUntil);
  });
}

void
traffic_service::SetColdUntil(instant aColdUntil)
{
  Post([aColdUntil](thread_state& aState) {
    aState.mExecutor.SetColdUntil(aColdUntil);
  });
}

void
traffic_service::Close(std::vector<shard_id> aShards,
                       std::function<void(std::vector<shard_id>)> aOnDrained)
{
  Post([shards = std::move(aShards),
        on_drained = std::move(aOnDrained)](thread_state& aState) {
    std::vector<shard_id> drained;
    for (const shard_id& shard : shards) {
      if (aState.mExecutor.Close(shard, [=] { on_drained({ shard }); })) {
        drained.push_back(shard);
      }
    }
    if (!drained.empty()) {
      on_drained(std::move(drained));
    }
  });
}

void
traffic_service::StopAccepting()
{
  Post([](thread_state& aState) { aState.mCallerServer.StopAccepting(); });
}

void
traffic_service::EndBy(instant aRefuseFrom, instant aEndBy)
{
  Post([aRefuseFrom, aEndBy](thread_state& aState) {
    aState.mCallerServer.EndBy(aRefuseFrom, aEndBy);
    aState.mExecutor.EndBy(aEndBy);
  });
}

void
traffic_service::TakeReport(std::function<void(traffic_report)> aReceive)
{
  Post([receive = std::move(aReceive)](thread_state& aState) {
    receive(aState.TakeReport());
  });
}

void
traffic_service::Inspect(std::function<void(traffic_state)> aReceive)
{
  Post([receive = std::move(aReceive)](thread_state& aState) {
    receive(aState.Inspect());
  });
}

} // namespace plantaindale
