#include "plantaindale/node/node_daemon.h"

#include <array>
#include <random>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };
// Control work in a row that takes longer is logged, since the traffic thread
// may share the core.
constexpr duration kLoggedControlTime = std::chrono::milliseconds(100);
// Changes of the view within this interval are published together.
constexpr duration kPublicationInterval = std::chrono::milliseconds(20);
constexpr int kTicksPerTrafficReport = 5;
constexpr std::chrono::milliseconds kWatchRetryPause{ 250 };
constexpr std::chrono::milliseconds kWatchRoleCheckInterval{ 200 };
constexpr std::chrono::milliseconds kWarmTimeout{ 1800 };
constexpr std::chrono::milliseconds kLeaseNoticeTimeout{ 300 };
constexpr std::chrono::milliseconds kConnectionCloseDelay{ 200 };
// Time left for running requests when the node can't leave in time.
constexpr std::chrono::milliseconds kRunningRequestReserve{ 300 };
// Requests that arrive during the shutdown are refused within this time.
constexpr std::chrono::milliseconds kRefusalTime{ 50 };
// Part of the grace period after SIGTERM that is kept for the process to exit.
constexpr duration kExitMargin = std::chrono::milliseconds(400);
// A leaving server gets its last request this long before its drain ends, so
// that the request arrives in time.
constexpr duration kServerDrainMargin = std::chrono::milliseconds(400);

// Names of the events in the order of the variant, for metrics.
constexpr std::array<std::string_view, std::variant_size_v<event>> kEventNames{
  "tick",
  "message",
  "write_finished",
  "read_finished",
  "store_changed",
  "watch_ended",
  "server",
  "rejoin",
  "shards_drained",
  "shard_warmed",
  "traffic_report",
  "server_ended",
  "suspect_completed",
  "refusal_lifted",
  "drain",
  "undrain"
};

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Leaves as many numbers above it as a process can use.
std::int64_t
RandomCallId()
{
  return static_cast<std::int64_t>(RandomSeed() >> 2);
}

node_settings
WithProcessName(node_settings aSettings)
{
  aSettings.mDescription.mProcess = absl::StrCat(absl::Hex(RandomSeed()));
  return aSettings;
}

// How long requests are sent to a server that has said that it leaves.
duration
ServingTimeOfLeaving(const node_settings& aSettings)
{
  return std::max(duration(0), aSettings.mServerDrain - kServerDrainMargin);
}

http_header_names
HeaderNames(const deployment_interface& aDeployment,
            const node_settings& aSettings)
{
  http_header_names names = aDeployment.mHeaderNames;
  names.mCallsNameParents = aSettings.mCallsNameParents;
  return names;
}

} // namespace

node_daemon::node_daemon(node_settings aSettings,
                         deployment_interface aDeployment)
  : mSettings(WithProcessName(std::move(aSettings)))
  , mDeployment(std::move(aDeployment))
  , mContext(1)
  , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
  , mDirectStore(mDeployment.mMakeStore(mContext,
                                        mSettings.mPlatform,
                                        mSettings.mEvacuationBound))
  , mStore(
      *mDirectStore,
      { [this] { return RandomPeerAddress(); },
        [this](const std::string& aAddress, const control_message& aMessage) {
          mTransport.Send(aAddress, aMessage);
        },
        mSettings.mDescription.mAddresses.mControl,
        RandomCallId() })
  , mMachine(mSettings.mDescription, lease_timing(), RandomSeed())
  , mTraffic(
      mRoutingState,
      { HeaderNames(mDeployment, mSettings),
        mSettings.mServer.mService,
        mSettings.mRetries,
        mSettings.mQueuesLate },
      [this] { boost::asio::post(mContext, [this] { OnTrafficRefused(); }); },
      [this](std::string aInstance) {
        boost::asio::post(mContext, [this, instance = std::move(aInstance)] {
          mPresence.OnSaidLeaving(instance, boot_clock::now());
          PublishServer();
        });
      },
      { [this](server_end aEnd) { Post(server_ended{ std::move(aEnd) }); },
        [this](const request_fingerprint& aFingerprint) {
          Post(suspect_completed{ aFingerprint });
        } })
  , mGrants(
      mContext,
      *mDeployment.mServers,
      mRoutingState,
      [this](std::vector<shard_id> aShards, std::string aHandover) {
        Dispatch(shards_drained{ std::move(aShards), std::move(aHandover) });
      },
      [this] {
        mPresence.OnRefused();
        PublishServer();
      },
      [this] { Dispatch(rejoin_requested{}); },
      // A former process has ended, and granted nothing beyond its lease.
      boot_clock::now() + lease_timing().mTtl)
  , mPresence(mSettings.mServer,
              mSettings.mServerHeartbeatTimeout,
              ServingTimeOfLeaving(mSettings))
  , mTransport(
      mContext,
      [this](control_message aMessage) { OnMessage(std::move(aMessage)); })
  , mRandom(RandomSeed())
  , mAdmin(
      mContext,
      [this](const http_server_request& aRequest) { return Handle(aRequest); })
  , mReadiness(mContext,
               [this](const http_server_request& aRequest) {
                 return HandleReadiness(aRequest);
               })
  , mMetrics(mContext, [this](const http_server_request& aRequest) {
    return HandleMetrics(aRequest);
  })
{
}

absl::Status
node_daemon::Listen()
{
  const node_addresses& addresses = mSettings.mDescription.mAddresses;
  absl::Status status = mTransport.Listen(addresses.mControl);
  if (status.ok()) {
    status = mTraffic.Start(addresses, RandomSeed());
  }
  if (status.ok()) {
    status = mAdmin.Listen(addresses.mAdmin);
  }
  if (status.ok() && !mSettings.mReadyAddress.empty()) {
    status = mReadiness.Listen(mSettings.mReadyAddress);
  }
  if (status.ok() && !mSettings.mMetricsAddress.empty()) {
    status = mMetrics.Listen(mSettings.mMetricsAddress);
  }
  return status;
}

absl::Status
node_daemon::Run()
{
  InstallFiberScheduler(mContext);
  if (absl::Status status = Listen(); !status.ok()) {
    return status;
  }
  const node_addresses& addresses = mSettings.mDescription.mAddresses;
  log_event("started")
    .With("node", mSettings.mDescription.mName)
    .With("caller", addresses.mCaller)
    .With("admin", addresses.mAdmin);
  boost::fibers::fiber([this] { WatchLoop(); }).detach();
  boost::fibers::fiber([this] { SignalLoop(); }).detach();
  mGrants.Start();
  TickLoop();
  if (mMachine.LocalMembership().Phase() == membership_phase::kReplaced) {
    return MakeError(absl::StatusCode::kAborted,
                     "membership",
                     mSettings.mDescription.mName,
                     "another process joined under this node name");
  }
  StopTraffic();
  return absl::OkStatus();
}

void
node_daemon::TickLoop()
{
  int ticks_until_report = kTicksPerTrafficReport;
  while (!mMachine.IsFinished() && !IsShutdownDeadlineNear()) {
    mMonitor.Sleep(kTickInterval);
    mPresence.Step(boot_clock::now());
    PublishServer();
    Dispatch(tick{});
    if (--ticks_until_report == 0) {
      ticks_until_report = kTicksPerTrafficReport;
      mTraffic.TakeReport(
        [this](traffic_report aReport) { Post(std::move(aReport)); });
    }
  }
}

void
node_daemon::WatchLoop()
{
  bool must_list = true;
  bool is_listed = false;      // by the last call
  instant next_watch = kNever; // of all objects
  for (;;) {
    if (!must_list && !mMachine.ShouldWatch(boot_clock::now())) {
      boost::this_fiber::sleep_for(kWatchRoleCheckInterval);
      continue;
    }
    const duration pause = next_watch - boot_clock::now();
    const bool is_pausing = !must_list && pause > duration(0);
    auto delta = must_list    ? mStore.List()
                 : is_pausing ? mStore.AwaitConfiguration(pause)
                              : mStore.Watch(mMachine.View().Revision());
    if (delta.ok() && is_pausing && delta->objects.empty()) {
      continue;
    }
    if (delta.ok()) {
      // A list without a revision is incomplete.
      const bool has_revision = delta->to_revision > 0;
      is_listed = must_list && has_revision;
      must_list = must_list && !is_listed;
      Dispatch(watch_ended{ true });
      OnPlatformReached();
      Dispatch(store_changed{ *std::move(delta) });
      if (has_revision) {
        const instant now = boot_clock::now();
        next_watch = now + mMachine.WatchPause(now);
      } else if (must_list) {
        boost::this_fiber::sleep_for(kWatchRetryPause);
      }
      continue;
    }
    const bool must_relist = absl::IsOutOfRange(delta.status());
    must_list = must_list || must_relist || mMachine.View().Revision() == 0;
    Dispatch(watch_ended{ must_relist });
    if (std::exchange(mIsPlatformReachable, must_relist)) {
      log_event("platform_unreachable", log_level::kWarning)
        .With("reason", Reason(delta.status()));
    }
    // An expired watch is answered by a list at once, but not again and again.
    if (!must_relist || is_listed) {
      boost::this_fiber::sleep_for(kWatchRetryPause);
    }
    is_listed = false;
  }
}

void
node_daemon::OnPlatformReached()
{
  const instant now = boot_clock::now();
  const instant last = std::exchange(mPlatformAnsweredAt, now);
  if (!std::exchange(mIsPlatformReachable, true)) {
    log_event("platform_reached")
      .With("peer", mSettings.mPlatform)
      .With("unanswered_us", (now - last).count());
  }
}

void
node_daemon::SignalLoop()
{
  for (;;) {
    int signal = 0;
    AwaitIo([&](auto aHandler) {
      mSignals.async_wait([handler = std::move(aHandler), &signal](
                            boost::system::error_code aError, int aSignal) {
        signal = aSignal;
        handler(aError);
      });
    });
    if (signal == SIGHUP) {
      log_event("settings_kept")
        .With("reason",
              "SIGHUP does not reload settings; restart the process to apply "
              "changes");
      continue;
    }
    OnTerminate();
  }
}

void
node_daemon::OnTerminate()
{
  if (mMachine.LocalMembership().IsDraining()) {
    log_event("still_draining")
      .With("waits_for", mMachine.DrainWaitsFor(boot_clock::now()));
  }
  if (std::exchange(mIsStopping, true)) {
    return;
  }
  const instant now = boot_clock::now();
  mExitDeadline = now + mSettings.mGrace - kExitMargin;
  mTraffic.EndBy(now + mSettings.mReadinessPropagation, mExitDeadline);
  log_event("stopping").With("end_in_us", (mExitDeadline - now).count());
  // Keep the node and its server available until callers have moved to other
  // nodes, then drain.
  boost::fibers::fiber([this] {
    boost::this_fiber::sleep_for(mSettings.mReadinessPropagation);
    Dispatch(drain_requested{});
  }).detach();
}

void
node_daemon::RestoreFormerServer()
{
  const auto& former = mMachine.LocalMembership().FormerServer();
  if (former == mRestoredServer) {
    return;
  }
  mRestoredServer = former;
  log_event("server_restored")
    .With("instance", former->mInstance)
    .With("started_at", former->mStartedAt)
    .With("state", former->mIsLeaving ? "leaving" : "ready");
  mPresence.RestoreServer(*former, boot_clock::now());
  PublishServer();
}

void
node_daemon::StopTraffic()
{
  // Callers with an open connection still get one answer on it.
  boost::this_fiber::sleep_for(kConnectionCloseDelay);
  mTraffic.StopAccepting();
  const instant deadline =
    std::min(mExitDeadline, boot_clock::now() + mSettings.mGrace);
  while (boot_clock::now() < deadline) {
    const traffic_state state = InspectTraffic();
    if (state.mCallerRequests + state.mOutstanding == 0) {
      break;
    }
    boost::this_fiber::sleep_for(kTickInterval);
  }
  // From now on every request is refused with an answer.
  mTraffic.EndBy(kNever, kNever);
  boost::this_fiber::sleep_for(kRefusalTime);
  log_event("stopped")
    .With("node", mSettings.mDescription.mName)
    .With("running", InspectTraffic().mCallerRequests);
}

void
node_daemon::OnMessage(control_message aMessage)
{
  if (aMessage.__isset.store_answered) {
    mStore.OnResult(aMessage.store_answered);
  } else if (aMessage.__isset.ask_store) {
    boost::fibers::fiber([this, call = std::move(aMessage.ask_store)] {
      control_message answer;
      answer.__set_store_answered(mStore.Serve(call));
      mTransport.Send(call.reply_address, answer);
    }).detach();
  } else {
    Dispatch(message_received{ std::move(aMessage) });
  }
}

std::string
node_daemon::RandomPeerAddress()
{
  std::vector<std::string> addresses;
  for (const auto& [name, record] : mMachine.View().Nodes()) {
    if (record.IsActive() && name != mSettings.mDescription.mName) {
      addresses.push_back(record.mAddresses.mControl);
    }
  }
  if (addresses.empty()) {
    return "";
  }
  std::uniform_int_distribution<std::size_t> random_index(0,
                                                          addresses.size() - 1);
  return addresses[random_index(mRandom)];
}

bool
node_daemon::IsShutdownDeadlineNear() const
{
  return boot_clock::now() + kConnectionCloseDelay + kRunningRequestReserve >=
         mExitDeadline;
}

void
node_daemon::Post(event aEvent)
{
  boost::asio::post(mContext, [this, event = std::move(aEvent)]() mutable {
    Dispatch(std::move(event));
  });
}

void
node_daemon::Dispatch(event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mIsStepping) {
    return;
  }
  mIsStepping = true;
  const instant start = boot_clock::now();
  int events = 0;
  while (!mEvents.empty()) {
    const event next = std::move(mEvents.front());
    mEvents.pop_front();
    ++events;
    const std::vector<action> actions = Step(next);
    RestoreFormerServer();
    PublishEvacuation();
    Publish();
    ExecuteActions(actions);
  }
  mIsStepping = false;
  const duration took = boot_clock::now() - start;
  if (took >= kLoggedControlTime) {
    log_event("control_busy", log_level::kWarning)
      .With("events", events)
      .With("took_us", took.count());
  }
}

std::vector<action>
node_daemon::Step(const event& aEvent)
{
  const work_metrics::timer timed(mWork, kEventNames[aEvent.index()]);
  mMachine.SetGrantsHeldUntil(mGrants.Ledger().AnyMayHoldUntil());
  mMachine.SetUnixTime(std::chrono::floor<unix_time>(
    std::chrono::system_clock::now().time_since_epoch()));
  return mMachine.Step(aEvent, boot_clock::now());
}

void
node_daemon::ExecuteActions(const std::vector<action>& aActions)
{
  for (const action& next_action : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, next_action);
  }
  CloseShards();
}

void
node_daemon::Execute(const send_message& aAction)
{
  mTransport.Send(aAction.mAddress, aAction.mMessage);
}

void
node_daemon::Execute(const write_object& aAction)
{
  boost::fibers::fiber([this, action = aAction] {
    auto result = mStore.Write(action.mWrite);
    Dispatch(write_finished{ action.mToken, std::move(result) });
  }).detach();
}

void
node_daemon::Execute(const read_object& aAction)
{
  boost::fibers::fiber([this, action = aAction] {
    auto result = mStore.Get(action.mKind, action.mName);
    Dispatch(read_finished{ action.mToken, std::move(result) });
  }).detach();
}

void
node_daemon::Execute(const close_shard& aAction)
{
  mShardsToClose.push_back(aAction.mShard);
}

// The traffic thread must know that a shard is closed before it looks for the
// shard's running requests, so this waits for the snapshot that says so.
void
node_daemon::CloseShards()
{
  const bool is_published =
    mPublished.mClosed == mMachine.ShardManager().ClosedGeneration();
  if (mShardsToClose.empty() || !is_published) {
    return;
  }
  mTraffic.Close(
    std::exchange(mShardsToClose, {}), [this](std::vector<shard_id> aDrained) {
      boost::asio::post(mContext, [this, drained = std::move(aDrained)] {
        mGrants.Release(drained);
      });
    });
}

void
node_daemon::Execute(const warm_shard& aAction)
{
  const auto& server = mMachine.LocalMembership().Server();
  if (!server) {
    return;
  }
  boost::fibers::fiber([this, action = aAction, address = server->mAddress] {
    http_request request{ address,
                          "POST",
                          "/plantaindale/warm?shard=" + ToText(action.mShard),
                          "",
                          kWarmTimeout };
    request.mMaxResponseBytes = kMaxServerAnswerBytes;
    const auto answer = HttpCall(mContext, request);
    if (answer.ok() && answer->mStatus == 200) {
      Dispatch(shard_warmed{ action.mShard, action.mOwnerAddress });
    }
  }).detach();
}

void
node_daemon::Execute(const log_event_action& aAction)
{
  log_event event(aAction.mEvent);
  event.With("subject", aAction.mSubject);
  if (!aAction.mReason.empty()) {
    event.With("reason", aAction.mReason);
  }
  for (const auto& [key, value] : aAction.mFields) {
    event.With(key, value);
  }
}

void
node_daemon::Publish()
{
  mRoutingState.SetLease(mMachine.LocalMembership().Identity().incarnation,
                         mMachine.LeaseUntil());
  NotifyServerOfLease();
  const crash_ledger& crashes = mMachine.CrashControl().Ledger();
  if (std::exchange(mPublishedVerdicts, crashes.Generation()) !=
      crashes.Generation()) {
    mRoutingState.PublishCrashVerdicts(
      std::make_shared<const crash_verdicts>(crashes.Verdicts()));
  }
  const published_state state = CurrentState();
  if (state == mPublished) {
    return;
  }
  const bool is_urgent = state.mServer != mPublished.mServer ||
                         state.mPhase != mPublished.mPhase ||
                         state.mIsDraining != mPublished.mIsDraining;
  const instant now = boot_clock::now();
  if (is_urgent || now >= mNextPublication) {
    PublishState();
  } else if (!std::exchange(mIsPublicationDue, true)) {
    boost::fibers::fiber([this, wait = mNextPublication - now] {
      boost::this_fiber::sleep_for(wait);
      mIsPublicationDue = false;
      PublishState();
      CloseShards();
    }).detach();
  }
}

node_daemon::published_state
node_daemon::CurrentState() const
{
  return { mMachine.View().Generation(),
           mMachine.ShardManager().ClosedGeneration(),
           mMachine.LocalMembership().ServerGeneration(),
           mMachine.LocalMembership().Phase(),
           mMachine.LocalMembership().IsDraining(),
           mMachine.LeaseUntil() };
}

void
node_daemon::PublishState()
{
  const published_state state = CurrentState();
  mNextPublication = boot_clock::now() + kPublicationInterval;
  const bool is_snapshot_due = !state.HasSameRouting(mPublished);
  if (state.mClosed != mPublished.mClosed) {
    mClosedShards = mMachine.ShardManager().ClosedShards();
  }
  mPublished = state;
  if (is_snapshot_due) {
    UpdateGrants();
    PublishSnapshot();
  } else {
    mGrants.ExtendLease(mMachine.IsMember() ? state.mLeaseUntil : kNever);
  }
}

void
node_daemon::UpdateGrants()
{
  const work_metrics::timer timed(mWork, "update_grants");
  mGrants.Update(mMachine.LocalMembership().GrantBinding(),
                 mMachine.View(),
                 mClosedShards,
                 mMachine.IsMember() ? mMachine.LeaseUntil() : kNever);
}

// The refusal may be older than the server's present start, which may hold
// keys.
void
node_daemon::OnTrafficRefused()
{
  if (mGrants.HasServer()) {
    mGrants.VerifyServer();
    return;
  }
  mPresence.OnRefused();
  PublishServer();
}

void
node_daemon::PublishColdUntil()
{
  if (std::exchange(mPublishedColdUntil, mColdPace.ColdUntil()) !=
      mColdPace.ColdUntil()) {
    mTraffic.SetColdUntil(mColdPace.ColdUntil());
  }
}

// Publishes the state of the backend server if it has changed.
void
node_daemon::PublishServer()
{
  const std::optional<announced_server> server = mPresence.Server();
  if (server == mPublishedServer) {
    return;
  }
  const bool is_leaving = server && server->mIsLeaving;
  mPublishedServer = server;
  log_event("server")
    .With("instance", server ? server->mInstance : "")
    .With("address", server ? server->mAddress : "")
    .With("started_at", server ? server->mStartedAt : 0)
    .With("slots", server ? server->mSlots : 0)
    .With("state",
          !server      ? "lost"
          : is_leaving ? "leaving"
                       : "ready");
  SetTrafficServer();
  Dispatch(server_announced{ server });
}

void
node_daemon::SetTrafficServer()
{
  const auto& server = mPublishedServer;
  const instant serves_until =
    mIsServerWithheld ? kNever
    : server && server->mIsLeaving
      ? mPresence.LeavingSince() + ServingTimeOfLeaving(mSettings)
      : instant::max();
  mTraffic.SetServer(server, serves_until);
}

void
node_daemon::PublishEvacuation()
{
  const bool is_evacuated = mMachine.IsEvacuated();
  const bool has_ended =
    std::exchange(mIsEvacuated, is_evacuated) && !is_evacuated;
  if (has_ended) {
    mColdPace.OnEvacuationEnded(boot_clock::now());
    PublishColdUntil();
  }
  const bool is_withheld = is_evacuated || !mMachine.KnowsEvacuations();
  if (std::exchange(mIsServerWithheld, is_withheld) != is_withheld) {
    log_event("server_withheld")
      .With("failure_domain", mSettings.mDescription.mFailureDomain)
      .With("state", is_withheld ? "withheld" : "in use")
      .With("evacuated", is_evacuated ? "yes" : "no")
      .With("revision", mMachine.View().Evacuations().Revision());
    SetTrafficServer();
  }
}

void
node_daemon::PublishSnapshot()
{
  const work_metrics::timer timed(mWork, "publish_snapshot");
  auto snapshot = std::make_shared<routing_snapshot>();
  const cluster_view& view = mMachine.View();
  snapshot->mSelf = mMachine.LocalMembership().Identity();
  snapshot->mIsMember = mMachine.IsMember();
  snapshot->mIsDraining = mMachine.LocalMembership().IsDraining();
  snapshot->mFailureDomain = mSettings.mDescription.mFailureDomain;
  snapshot->mConfiguration = view.ConfigurationPointer();
  snapshot->mNodes = view.SharedNodes();
  snapshot->mPages = view.Pages();
  snapshot->mClosedShards = mClosedShards;
  snapshot->mHasEvacuations = !view.Evacuations().Domains().empty();
  mRoutingState.Publish(std::move(snapshot));
}

// A backend server that checks fencing tokens stops its running requests when
// the last announced lease expires.
void
node_daemon::NotifyServerOfLease()
{
  const auto& server = mMachine.LocalMembership().Server();
  const instant until = mMachine.LeaseUntil();
  const bool is_extended = until > mServerNotifiedUntil;
  if (!server || !server->mChecksFences || !is_extended || mIsNotifyingServer) {
    return;
  }
  mIsNotifyingServer = true;
  boost::fibers::fiber([this, address = server->mAddress, until] {
    http_request request{ address,
                          "POST",
                          absl::StrCat("/plantaindale/lease?until_us=",
                                       ToMicros(until)),
                          "",
                          kLeaseNoticeTimeout };
    request.mMaxResponseBytes = kMaxServerAnswerBytes;
    const auto answer = HttpCall(mContext, request);
    if (answer.ok()) {
      mServerNotifiedUntil = until;
    }
    mIsNotifyingServer = false;
  }).detach();
}

traffic_state
node_daemon::InspectTraffic()
{
  boost::fibers::promise<traffic_state> promise;
  auto state = promise.get_future();
  mTraffic.Inspect([&](traffic_state aState) {
    boost::asio::post(mContext, [&, aState] { promise.set_value(aState); });
  });
  return state.get();
}

} // namespace plantaindale
