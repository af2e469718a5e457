// node_daemon runs one node: it feeds the node_machine with what happens, does
// what it asks for, and publishes to the traffic thread what that needs.
#pragma once

#include <deque>
#include <memory>
#include <random>

#include "absl/status/status.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/node/control_transport.h"
#include "plantaindale/node/deployment_interface.h"
#include "plantaindale/node/grant_service.h"
#include "plantaindale/node/node_machine.h"
#include "plantaindale/node/server_presence.h"
#include "plantaindale/node/traffic_service.h"
#include "plantaindale/request/routing_snapshot.h"
#include "plantaindale/settings/node_settings.h"
#include "plantaindale/store/relayed_store.h"
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Belongs to the control thread, but for what is said otherwise.
class node_daemon
{
public:
  node_daemon(node_settings aSettings, deployment_interface aSite);

  // Serves until the node has left or was replaced. An error when it couldn't
  // start, or was replaced.
  absl::Status Run();

private:
  // Puts the event in line; it is taken in at once when none is before it.
  void Take(event aEvent);
  // The same, from any thread.
  void Post(event aEvent);
  void ExecuteActions(const std::vector<action>& aActions);
  void Do(const send_message& aAction);
  void Do(const write_object& aAction);
  void Do(const read_object& aAction);
  void Do(const close_shard& aAction);
  void Do(const warm_shard& aAction);
  void Do(const log_event_action& aAction);
  void Publish();
  void PublishSnapshot();
  void UpdateGrants(const std::set<shard_id>& aClosed);
  void PublishServer();
  void NotifyServerOfLease();

  void TickLoop();
  void WatchLoop();
  void SignalLoop();
  void StopTraffic();
  absl::Status Listen();
  // Takes over what a former process at these addresses knew of the server.
  void RestoreFormerServer();
  void OnTerminate();
  // A message from another node: for the store's relay, or for the machine.
  void OnMessage(control_message aMessage);
  // The control address of an active peer; empty when none is known.
  std::string RandomPeerAddress();
  // The end of the time that SIGTERM leaves.
  bool IsShutdownDeadlineNear() const;

  http_response Handle(const http_server_request& aRequest);
  http_response HandleNotice(const server_notice& aNotice);
  http_response HandleReadiness(const http_server_request& aRequest);
  http_response HandleMetrics(const http_server_request& aRequest);
  http_response HandleMove(const http_server_request& aRequest);
  traffic_state InspectTraffic();

  node_settings mSettings;
  deployment_interface mDeployment;
  boost::asio::io_context mContext;
  std::unique_ptr<object_store> mDirectStore;
  relayed_store mStore;
  node_machine mMachine;
  routing_state mBoard;
  traffic_service mTraffic;
  grant_service mGrants;
  server_presence mPresence;
  control_transport mTransport;
  std::mt19937_64 mRandom;
  http_server mAdmin;
  http_server mReadiness;
  http_server mMetrics;
  std::deque<event> mEvents;
  bool mIsStepping = false;
  std::int64_t mPublishedGeneration = -1;
  std::set<shard_id> mPublishedClosed;
  membership_phase mPublishedPhase = membership_phase::kNotJoined;
  bool mPublishedDraining = false;
  std::optional<announced_server> mPublishedServer;
  instant mServerLeavingSince = instant::max();
  instant mGrantedUntil = kNever; // the lease that grants were last made from
  bool mIsStopping = false;       // SIGTERM has come
  instant mExitDeadline = instant::max();
  bool mIsPlatformReachable = true;
  bool mIsNotifyingServer = false;
  instant mServerNotifiedUntil = kNever;
};

} // namespace plantaindale
