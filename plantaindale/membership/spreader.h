// spreader carries the store's changes from the few nodes that watch the
// platform to all others, by gossip: whoever learns something pushes it to a
// few others at once, and every node compares revisions with random peers.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"

namespace plantaindale {

using protocol::control_message;

// Nodes that hold a watch at the platform, spread over the failure domains, of
// which each has one at least.
inline constexpr std::size_t kWatchers = 8;

// Part of node_machine; pure but for the seeded choice of peers. Not
// thread-safe.
class spreader
{
public:
  spreader(std::string aName, std::string aControlAddress, std::uint64_t aSeed);

  // Commands. `aOwn` is what digests say of this node's load.
  void Step(instant aNow,
            const cluster_view& aView,
            const protocol::digest& aOwn,
            action_list& aActions);
  void OnDigest(instant aNow,
                const protocol::digest& aDigest,
                const cluster_view& aView,
                action_list& aActions);
  // The sender of a vouch request knew less than this node, or more.
  void OnRevisionSeen(instant aNow,
                      std::int64_t aRevision,
                      const std::string& aAddress,
                      const cluster_view& aView,
                      action_list& aActions);
  // Something newer came with a gap: compare with a peer at once.
  void Hurry() { mNextDigest = kNever; }
  // Has the sender of something newer send what lies between.
  void AskFor(const std::string& aAddress,
              const cluster_view& aView,
              action_list& aActions);

  // Whether the platform's store lets this node watch. While it doesn't, the
  // next nodes of the domain are told to watch in its place.
  void SetCanWatch(bool aCan) { mCanWatch = aCan; }
  // A node with little load asks more often, so that others see it.
  void SetHungry(bool aIsHungry) { mIsHungry = aIsHungry; }

  // Queries.
  // Whether this node should watch the platform itself: it is one of its
  // domain's watchers, or it can't tell yet.
  bool ShouldWatch(instant aNow, const cluster_view& aView) const;

private:
  // Control addresses of other active nodes; with a service, of those that take
  // work for it.
  std::vector<std::string> RandomPeers(const cluster_view& aView,
                                       std::size_t aCount,
                                       std::string_view aService = {});
  control_message Digest(const cluster_view& aView,
                         const protocol::digest& aOwn) const;
  void SendLoad(instant aNow,
                const cluster_view& aView,
                const protocol::digest& aOwn,
                action_list& aActions);
  // Nodes of the own domain in the order in which they are to watch.
  std::vector<const node_record*> WatchOrder(const cluster_view& aView) const;
  void CallNextWatchers(instant aNow,
                        const cluster_view& aView,
                        action_list& aActions);
  void Push(const cluster_view& aView, action_list& aActions);
  // The configuration goes beside the sequence of revisions: the platform may
  // keep it apart from the other objects, in another sequence of changes.
  void PushConfiguration(const cluster_view& aView, action_list& aActions);
  void SendConfiguration(const std::string& aAddress,
                         const cluster_view& aView,
                         action_list& aActions);

  std::string mName;
  std::string mControlAddress;
  std::mt19937_64 mRandom;
  std::int64_t mPushedRevision = 0;
  std::int64_t mPushedConfiguration = 0;
  instant mNextDigest = kNever;
  instant mNextLoad = kNever;
  // What was asked for last, and when to ask for it anew.
  std::int64_t mAskedRevision = 0;
  instant mAskAgain = kNever;
  bool mIsHungry = false;
  bool mCanWatch = true;
  instant mNextCall = kNever;
  // Nodes that have said that they can't watch, and until when that counts.
  std::map<std::string, instant, std::less<>> mUnableUntil;
};

} // namespace plantaindale
