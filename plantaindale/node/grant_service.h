// grant_service tells the backend server beside the node which keys it holds:
// it sends the grants that its grant_ledger finds due, releases keys that go
// elsewhere, and publishes what the server holds.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/net/http_session.h"
#include "plantaindale/node/grant_ledger.h"
#include "plantaindale/node/server_protocol.h"
#include "plantaindale/request/routing_snapshot.h"
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Belongs to the control thread.
class grant_service
{
public:
  // Called once a shard is no longer held, with the handover for its next
  // holder; must not wait.
  using on_released = std::function<void(shard_id, std::string)>;

  grant_service(boost::asio::io_context& aContext,
                const server_protocol& aProtocol,
                routing_state& aBoard,
                on_released aOnReleased);

  // Commands.
  // Starts the loop that sends; call once.
  void Start();
  // What the node knows now. `aServer`: none, or one that keeps grants.
  void Update(const std::optional<announced_server>& aServer,
              const cluster_view& aView,
              const node_identity& aSelf,
              const std::set<shard_id>& aClosed,
              instant aLeaseUntil);
  // No request runs for the shard any more: takes it back from the server.
  void Release(const shard_id& aShard);

  // Queries.
  bool HasServer() const { return mServer.has_value(); }
  const grant_ledger& Ledger() const { return mLedger; }

private:
  void SendLoop();
  void SendDue();
  void Send(const grant_range& aRange);
  void StartReleases();
  void ReleaseRange(announced_server aServer, int aFirst, int aLast);
  key_grant ToGrant(const grant_range& aRange) const;
  bool IsInFlight(int aFirst, int aLast) const;
  void Publish();

  boost::asio::io_context& mContext;
  const server_protocol& mProtocol;
  routing_state& mBoard;
  on_released mOnReleased;
  http_session mSession;
  grant_ledger mLedger;
  std::optional<announced_server> mServer;
  // A server that was here before may hold keys until then.
  instant mFormerServerHoldsUntil = kNever;
  std::string mService; // the last keyed one beside this node
  int mShards = 0;
  int mKeySpaceSize = 0;
  instant mLeaseUntil = kNever;
  std::set<int> mToRelease;
  // Taken back, or about to be; not granted again while the node has closed
  // them.
  std::set<int> mReleased;
  std::optional<grant_range> mInFlight;
  std::vector<held_range> mPublished;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

} // namespace plantaindale
