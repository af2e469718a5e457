// spreader carries the store's changes from the few nodes that watch the
// platform to all others, by gossip: whoever learns something tells a few
// others of its failure domain at once, and every node compares revisions with
// random peers. Each domain has watchers of its own, so changes cross between
// domains only where these fail: bytes between domains are dear.
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
  // The first three are this node's.
  spreader(std::string aName,
           std::string aFailureDomain,
           std::string aControlAddress,
           std::uint64_t aSeed);

  // Commands. `aOwn` is what digests say of this node's load.
  void Step(instant aNow,
            const cluster_view& aView,
            const protocol::digest& aOwn,
            action_list& aActions);
  void OnDigest(instant aNow,
                const protocol::digest& aDigest,
                const cluster_view& aView,
                action_list& aActions);
  // The peer knows of a revision that may be new here.
  void OnNewsSeen(instant aNow,
                  std::int64_t aRevision,
                  const std::string& aAddress,
                  const cluster_view& aView,
                  action_list& aActions);
  // A page that this node has just written: whoever sends requests for its
  // shards is to know soon, before the watchers have seen it.
  void SpreadPage(const stored_object& aWritten,
                  const cluster_view& aView,
                  action_list& aActions);
  // News of that kind which was new here goes on in the own domain.
  void PassOn(const object_delta& aNews,
              const cluster_view& aView,
              action_list& aActions);
  // Something newer came with a gap: compare with a peer at once.
  void Hurry() { mNextDigest = kNever; }
  // Sends the peer what it lacks.
  static void SendChanges(const std::string& aAddress,
                          std::int64_t aKnown,
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
  // Between two watches: longer at a watcher that hears of changes by another
  // one of its domain, and only stands by. Each watch is a call that is paid.
  duration WatchPause(instant aNow, const cluster_view& aView) const;

private:
  // Which nodes a message is for.
  struct peer_filter
  {
    std::string_view mService; // those that take work for it; empty: all
    bool mIsNearOnly = false;  // those of the own failure domain
  };

  // Control addresses of other active nodes.
  std::vector<std::string> RandomPeers(const cluster_view& aView,
                                       std::size_t aCount,
                                       peer_filter aFilter);
  // Whether the node at the control address is of another failure domain.
  bool IsFar(const cluster_view& aView, std::string_view aAddress) const;
  // Has the peer send what is new to it.
  void AskFor(const std::string& aAddress,
              const cluster_view& aView,
              action_list& aActions);
  static void SendDelta(const std::vector<std::string>& aPeers,
                        const object_delta& aDelta,
                        action_list& aActions);
  // Asks a node of another domain once the own one has had its time.
  void AskFarPeer(instant aNow,
                  const cluster_view& aView,
                  action_list& aActions);
  // How far another node and this one have come, in revisions or versions of
  // the configuration.
  struct progress
  {
    std::int64_t mThere;
    std::int64_t mHere;
  };
  // What of a kind was asked for, and is known to be had.
  struct wish
  {
    duration mAskAgainAfter; // then an answer is taken for lost
    std::int64_t mAsked = 0;
    instant mAskAgain = kNever;
    std::int64_t mFar = 0; // the newest that another domain knew
  };
  // Asks a near node that is ahead at once, and notes a far one.
  void OnSeen(instant aNow,
              const std::string& aAddress,
              progress aProgress,
              wish& aWish,
              const cluster_view& aView,
              action_list& aActions);
  control_message Digest(const cluster_view& aView,
                         const protocol::digest& aOwn) const;
  void SendLoad(instant aNow,
                const cluster_view& aView,
                const protocol::digest& aOwn,
                action_list& aActions);
  // Of the own domain's nodes that can watch, how many are to before this one.
  std::size_t WatchRank(instant aNow, const cluster_view& aView) const;
  // Nodes of the own domain in the order in which they are to watch.
  std::vector<const node_record*> WatchOrder(const cluster_view& aView) const;
  void CallNextWatchers(instant aNow,
                        const cluster_view& aView,
                        action_list& aActions);
  // Tells some nodes that there is news; who lacks it asks, and gets it once.
  void Announce(const cluster_view& aView, action_list& aActions);
  // The configuration goes beside the sequence of revisions: the platform may
  // keep it apart from the other objects, in another sequence of changes.
  static void SendConfiguration(const std::string& aAddress,
                                const cluster_view& aView,
                                action_list& aActions);

  std::string mName;
  std::string mFailureDomain;
  std::string mControlAddress;
  std::mt19937_64 mRandom;
  std::int64_t mAnnouncedRevision = 0;
  std::int64_t mAnnouncedConfiguration = 0;
  instant mNextDigest = kNever;
  instant mNextLoad = kNever;
  wish mChanges;
  wish mConfigurations;
  // A node of another domain that knew something new.
  std::string mFarPeer;
  instant mFarSince = kNever;
  bool mIsHungry = false;
  bool mCanWatch = true;
  instant mNextCall = kNever;
  // Nodes that have said that they can't watch, and until when that counts.
  std::map<std::string, instant, std::less<>> mUnableUntil;
};

} // namespace plantaindale
