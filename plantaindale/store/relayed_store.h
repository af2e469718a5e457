// relayed_store calls the platform's store, and while the store turns this node
// away, a peer that calls it in its stead.
//
//   relayed_store store(direct, peers);
//   auto written = store.Write(write);   // direct, else by a peer
//   store.OnResult(result);              // a peer's answer has come
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

// How a relayed_store reaches peers.
struct relay_peers
{
  // The control address of a peer; empty when none is known.
  std::function<std::string()> mChoosePeer;
  std::function<void(const std::string& aAddress,
                     const protocol::control_message& aMessage)>
    mSend;
  std::string mReplyAddress; // this node's control address
};

// Belongs to one thread; calls wait on the calling fiber. Lists and watches
// are never relayed: gossip brings what they would.
class relayed_store : public object_store
{
public:
  // `aDirect` must outlive this.
  relayed_store(object_store& aDirect, relay_peers aPeers);

  absl::StatusOr<object_delta> List() override;
  absl::StatusOr<object_delta> Watch(std::int64_t aAfter) override;
  absl::StatusOr<stored_object> Get(std::string_view aKind,
                                    std::string_view aName) override;
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite) override;

  // A peer's answer; one that is late or of another call changes nothing.
  void OnResult(const protocol::store_result& aResult);
  // The answer to a peer's call, from the store itself.
  protocol::store_result Serve(const protocol::store_call& aCall);

private:
  struct pending_call
  {
    bool mIsAnswered = false;
    protocol::store_result mResult;
    boost::fibers::condition_variable mChanged;
  };

  // Whether the store has lately failed to answer this node.
  bool IsCircuitOpen() const;
  void RecordDirectResult(const absl::Status& aStatus);
  absl::StatusOr<stored_object> Relay(protocol::store_call aCall);

  object_store& mDirect;
  relay_peers mPeers;
  instant mCircuitOpenUntil = kNever;
  std::int64_t mNextCallId = 1;
  std::map<std::int64_t, std::shared_ptr<pending_call>> mCalls;
  boost::fibers::mutex mMutex;
};

} // namespace plantaindale
