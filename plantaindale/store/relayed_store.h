// relayed_store calls the platform's object store directly, and through a peer
// while the store is unreachable from this node. A circuit breaker skips the
// direct call for a short time after a failure.
//
//   relayed_store store(direct, peers);
//   auto written = store.Write(write);   // direct, else through a peer
//   store.OnResult(result);              // on a response from a peer
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/store/object_store.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Callbacks by which a relayed_store reaches peers.
struct relay_peers
{
  // Returns the control address of a peer; empty if none is known.
  std::function<std::string()> mChoosePeer;
  std::function<void(const std::string& aAddress,
                     const protocol::control_message& aMessage)>
    mSend;
  std::string mReplyAddress; // this node's control address, IP:PORT
  // Calls are numbered from here. Random in each process, since the answer to a
  // call of a former process at the reply address may still arrive.
  std::int64_t mFirstCallId = 1;
};

// Belongs to one thread; calls block the calling fiber. Lists and watches are
// not relayed, since gossip distributes the same changes.
class relayed_store : public object_store
{
public:
  // `aDirect` must outlive this.
  relayed_store(object_store& aDirect, relay_peers aPeers);

  absl::StatusOr<object_delta> List() override;
  absl::StatusOr<object_delta> Watch(std::int64_t aAfter) override;
  absl::StatusOr<object_delta> AwaitConfiguration(duration aTime) override;
  absl::StatusOr<stored_object> Get(std::string_view aKind,
                                    std::string_view aName) override;
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite) override;

  // Handles a response from a peer. Late responses and responses to unknown
  // calls are ignored.
  void OnResult(const protocol::store_result& aResult);
  // Executes a peer's call against the store directly.
  protocol::store_result Serve(const protocol::store_call& aCall);

private:
  struct pending_call
  {
    bool mIsAnswered = false;
    protocol::store_result mResult;
    boost::fibers::condition_variable mChanged;
  };

  // Whether direct calls are skipped after a recent failure.
  bool IsCircuitOpen() const;
  // Opens or closes the circuit after a direct call.
  void RecordDirectResult(const absl::Status& aStatus);
  absl::StatusOr<stored_object> Relay(protocol::store_call aCall);

  object_store& mDirect;
  relay_peers mPeers;
  instant mCircuitOpenUntil = kNever;
  std::int64_t mNextCallId;
  std::map<std::int64_t, std::shared_ptr<pending_call>> mCalls;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
