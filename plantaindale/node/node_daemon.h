// node_daemon runs one node: it passes events to node_machine, executes the
// resulting actions, and publishes routing state to the traffic thread.
#pragma once

#include <deque>
#include <memory>
#include <random>

#include "absl/status/status.h"
#include "plantaindale/limits/cold_pace.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/node/control_transport.h"
#include "plantaindale/node/deployment_interface.h"
#include "plantaindale/node/grant_service.h"
#include "plantaindale/node/node_machine.h"
#include "plantaindale/node/server_presence.h"
#include "plantaindale/node/traffic_service.h"
#include "plantaindale/observe/thread_monitor.h"
#include "plantaindale/observe/work_metrics.h"
#include "plantaindale/request/routing_snapshot.h"
#include "plantaindale/settings/node_settings.h"
#include "plantaindale/store/relayed_store.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Used by the control thread only, unless stated otherwise.
class node_daemon
{
public:
  node_daemon(node_settings aSettings, deployment_interface aDeployment);

  // Serves until the node has left or was replaced. Returns an error if it
  // could not start or was replaced.
  absl::Status Run();

private:
  // Queues the event, and processes the queue unless that is under way already.
  void Dispatch(event aEvent);
  // The same; may be called from any thread.
  void Post(event aEvent);
  std::vector<action> Step(const event& aEvent);
  void ExecuteActions(const std::vector<action>& aActions);
  void Execute(const send_message& aAction);
  void Execute(const write_object& aAction);
  void Execute(const read_object& aAction);
  void Execute(const close_shard& aAction);
  void CloseShards();
  void Execute(const warm_shard& aAction);
  void Execute(const log_event_action& aAction);
  // What snapshots and grants are made of. Comparing it costs the same whatever
  // the number of nodes and shards.
  struct published_state
  {
    std::int64_t mGeneration = -1; // of the view
    std::int64_t mClosed = -1;     // generation of the closed shards
    std::int64_t mServer = 0;      // generation of the backend server
    membership_phase mPhase = membership_phase::kNotJoined;
    bool mIsDraining = false;
    instant mLeaseUntil = kNever;

    bool operator==(const published_state&) const = default;
    // Whether a snapshot of one is valid for the other.
    bool HasSameRouting(const published_state& aOther) const
    {
      return mGeneration == aOther.mGeneration && mClosed == aOther.mClosed &&
             mServer == aOther.mServer && mPhase == aOther.mPhase &&
             mIsDraining == aOther.mIsDraining;
    }
  };

  published_state CurrentState() const;
  // Publishes the lease, and what has changed at once or soon.
  void Publish();
  void PublishState();
  void PublishSnapshot();
  void UpdateGrants();
  void PublishServer();
  // Withholds requests from the server while its failure domain is evacuated.
  void PublishEvacuation();
  void SetTrafficServer();
  // Passes on until when the server counts as cold.
  void PublishColdUntil();
  // The server's address refused a connection of the traffic thread.
  void OnTrafficRefused();
  void NotifyServerOfLease();

  void TickLoop();
  void WatchLoop();
  // Records that a list or a watch was answered.
  void OnPlatformReached();
  void SignalLoop();
  void StopTraffic();
  absl::Status Listen();
  // Restores the server that an earlier process at these addresses recorded.
  void RestoreFormerServer();
  void OnTerminate();
  // Passes a message from another node to the relayed store or to the machine.
  void OnMessage(control_message aMessage);
  // The control address of a random active peer; empty when none is known.
  std::string RandomPeerAddress();
  // Whether the time remaining after SIGTERM is only enough to shut down.
  bool IsShutdownDeadlineNear() const;

  http_response Handle(const http_server_request& aRequest);
  http_response HandleNotice(const server_notice& aNotice);
  // Whether the stored record doesn't tell a later process of this node to use
  // the server.
  bool IsLeavingStored(std::string_view aInstance) const;
  // Waits until IsLeavingStored(), but not so long that the server gives up.
  void AwaitLeavingStored(std::string_view aInstance) const;
  http_response HandleReadiness(const http_server_request& aRequest);
  http_response HandleMetrics(const http_server_request& aRequest);
  http_response HandleLift(const http_server_request& aRequest);
  http_response HandleMove(const http_server_request& aRequest);
  traffic_state InspectTraffic();
  // The metrics of both threads in the Prometheus text format.
  std::string Metrics();

  node_settings mSettings;
  deployment_interface mDeployment;
  boost::asio::io_context mContext;
  boost::asio::signal_set mSignals;
  std::unique_ptr<object_store> mDirectStore;
  relayed_store mStore;
  node_machine mMachine;
  routing_state mRoutingState;
  traffic_service mTraffic;
  grant_service mGrants;
  server_presence mPresence;
  cold_pace mColdPace;
  instant mPublishedColdUntil = instant::max();
  control_transport mTransport;
  std::mt19937_64 mRandom;
  http_server mAdmin;
  http_server mReadiness;
  http_server mMetrics;
  work_metrics mWork;
  thread_monitor mMonitor{ "control" };
  std::deque<event> mEvents;
  bool mIsStepping = false;
  std::vector<shard_id> mShardsToClose;
  published_state mPublished;
  std::int64_t mPublishedVerdicts = 0; // their generation
  instant mNextPublication = kNever;
  bool mIsPublicationDue = false;   // a fiber waits to publish
  std::set<shard_id> mClosedShards; // as published
  std::optional<announced_server> mPublishedServer;
  std::optional<announced_server> mRestoredServer; // that of a former process
  // The failure domain is evacuated, or whether it is isn't known.
  bool mIsServerWithheld = mSettings.mDescription.mAwaitsEvacuations;
  bool mIsEvacuated = false; // as published
  bool mIsStopping = false;  // SIGTERM was received
  instant mExitDeadline = instant::max();
  bool mIsPlatformReachable = true;
  // When a list or a watch was last answered, or when the process started.
  instant mPlatformAnsweredAt = boot_clock::now();
  bool mIsNotifyingServer = false;
  instant mServerNotifiedUntil = kNever;
};

} // namespace plantaindale
