// grant_service grants keys to the local backend server: it sends the grants
// that grant_ledger reports as due, releases keys that move to other nodes, and
// publishes to the traffic thread which keys the server holds.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/net/http_session.h"
#include "plantaindale/node/grant_binding.h"
#include "plantaindale/node/grant_ledger.h"
#include "plantaindale/node/server_protocol.h"
#include "plantaindale/request/routing_snapshot.h"
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Used by the control thread only.
class grant_service
{
public:
  // Called once the server no longer holds the shards, with the handover for
  // the next holder. Must not block.
  using on_released = std::function<void(std::vector<shard_id>, std::string)>;

  // `aOnRefused` is called when nothing listens at the server's address, and
  // `aOnUsedUp` when no more connections can be numbered under this
  // incarnation of the node, which must rejoin. They must not block.
  // `aFormerHoldUntil` as for grant_ledger.
  grant_service(boost::asio::io_context& aContext,
                const server_protocol& aProtocol,
                routing_state& aRoutingState,
                on_released aOnReleased,
                std::function<void()> aOnRefused,
                std::function<void()> aOnUsedUp,
                instant aFormerHoldUntil = kNever);

  // Starts the send loop; call once.
  void Start();
  // Sends the grants that are due now, as the send loop does.
  void SendDue();
  // Updates the inputs. Without a binding, no grants are sent.
  void Update(const std::optional<grant_binding>& aBinding,
              const cluster_view& aView,
              const std::set<shard_id>& aClosed,
              instant aLeaseUntil);
  // The lease was extended, and nothing else has changed since Update().
  void ExtendLease(instant aLeaseUntil);
  // Has the server release the shards, which are of one service. No request for
  // them may be running.
  void Release(std::vector<shard_id> aShards);

  // Someone else was refused at the server's address: finds out soon whether
  // nothing listens there.
  void VerifyServer();

  bool HasServer() const { return mIsBound; }
  const grant_ledger& Ledger() const { return mLedger; }

private:
  void SendLoop();
  // Returns whether there is a connection to the server; `aDue` is the grant
  // that needs it, if there is one.
  bool Connect(const grant_range* aDue);
  void Send(const grant_range& aRange);
  void LogNotSent(const grant_range& aDue, std::string_view aReason) const;
  void LogGrant(std::string_view aEvent,
                const grant_binding& aBinding,
                const grant_range& aRange) const;
  void StartReleases();
  void ReleaseRange(grant_binding aBinding, int aFirst, int aLast);
  key_grant ToGrant(const grant_range& aRange) const;
  bool IsInFlight(int aFirst, int aLast) const;
  void Publish();

  boost::asio::io_context& mContext;
  const server_protocol& mProtocol;
  routing_state& mRoutingState;
  on_released mOnReleased;
  std::function<void()> mOnRefused;
  std::function<void()> mOnUsedUp;
  http_session mSession;
  grant_ledger mLedger;
  std::optional<grant_binding> mBinding; // the last one
  bool mIsBound = false;                 // it is valid
  bool mMustVerify = false;
  bool mIsConnectionNew = false; // no grant has been sent over it
  std::string mService;          // the last service with keys on this node
  int mShardCount = 0;
  int mKeySpaceSize = 0;
  instant mLeaseUntil = kNever;
  std::set<int> mToRelease;
  // Shards released or being released; not granted again while they are closed.
  std::set<int> mReleased;
  std::optional<grant_range> mInFlight;
  std::vector<held_range> mPublished;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

} // namespace plantaindale
