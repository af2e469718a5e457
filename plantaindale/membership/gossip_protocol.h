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
inline constexpr std::size_t kWatcherCount = 8;

// Part of node_machine; pure but for the seeded choice of peers. Not
// thread-safe.
class gossip_protocol
{
public:
  // The first three are this node's.
  gossip_protocol(std::string aName,
                  std::string aFailureDomain,
                  std::string aControlAddress,
                  std::uint64_t aSeed);

  // Commands. `aOwn` is what digests say of this node's load.
  void Step(instant aNow,
            const cluster_view& aView,
            const protocol::digest& aLocalLoad,
            action_list& aActions);
  void OnDigest(instant aNow,
                const protocol::digest& aDigest,
                const cluster_view& aView,
                action_list& aActions);
  // The peer knows of a revision that may be new here.
  void OnPeerRevision(instant aNow,
                      std::int64_t aRevision,
                      const std::string& aAddress,
                      const cluster_view& aView,
                      action_list& aActions);
  // A page that this node has just written: whoever sends requests for its
  // shards is to know soon, before the watchers have seen it.
  void BroadcastPage(const stored_object& aWritten,
                     const cluster_view& aView,
                     action_list& aActions);
  // News of that kind which was new here goes on in the own domain.
  void ForwardUpdates(const object_delta& aUpdates,
                      const cluster_view& aView,
                      action_list& aActions);
  // Something newer came with a gap: compare with a peer at once.
  void ExpediteDigest() { mNextDigest = kNever; }
  // Sends the peer what it lacks.
  static void SendChanges(const std::string& aAddress,
                          std::int64_t aKnown,
                          const cluster_view& aView,
                          action_list& aActions);

  // Whether the platform's store lets this node watch. While it doesn't, the
  // next nodes of the domain are told to watch in its place.
  void SetCanWatch(bool aCan) { mCanWatch = aCan; }
  // A node with little load asks more often, so that others see it.
  void SetUnderloaded(bool aIsHungry) { mIsUnderloaded = aIsHungry; }

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
    std::string_view mService;       // those that take work for it; empty: all
    bool mIsLocalDomainOnly = false; // those of the own failure domain
  };

  // Control addresses of other active nodes.
  std::vector<std::string> RandomPeers(const cluster_view& aView,
                                       std::size_t aCount,
                                       peer_filter aFilter);
  // Whether the node at the control address is of another failure domain.
  bool IsInRemoteDomain(const cluster_view& aView,
                        std::string_view aAddress) const;
  // Has the peer send what is new to it.
  void RequestChanges(const std::string& aAddress,
                      const cluster_view& aView,
                      action_list& aActions);
  static void SendDelta(const std::vector<std::string>& aPeers,
                        const object_delta& aDelta,
                        action_list& aActions);
  // Asks a node of another domain once the own one has had its time.
  void RequestFromRemotePeer(instant aNow,
                             const cluster_view& aView,
                             action_list& aActions);
  // How far another node and this one have come, in revisions or versions of
  // the configuration.
  struct version_pair
  {
    std::int64_t mPeerVersion;
    std::int64_t mLocalVersion;
  };
  // What of a kind was asked for, and is known to be had.
  struct fetch_state
  {
    duration mRetryDelay; // then an answer is taken for lost
    std::int64_t mRequested = 0;
    instant mRetryAt = kNever;
    std::int64_t mRemoteVersion = 0; // the newest that another domain knew
  };
  // Asks a near node that is ahead at once, and notes a far one.
  void OnPeerVersion(instant aNow,
                     const std::string& aAddress,
                     version_pair aVersions,
                     fetch_state& aFetch,
                     const cluster_view& aView,
                     action_list& aActions);
  control_message MakeDigest(const cluster_view& aView,
                             const protocol::digest& aLocalLoad) const;
  void SendLoad(instant aNow,
                const cluster_view& aView,
                const protocol::digest& aLocalLoad,
                action_list& aActions);
  // Of the own domain's nodes that can watch, how many are to before this one.
  std::size_t WatchRank(instant aNow, const cluster_view& aView) const;
  // Nodes of the own domain in the order in which they are to watch.
  std::vector<const node_record*> WatchOrder(const cluster_view& aView) const;
  void NotifyStandbyWatchers(instant aNow,
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
  fetch_state mChanges;
  fetch_state mConfigurations;
  // A node of another domain that knew something new.
  std::string mRemotePeer;
  instant mRemoteAheadSince = kNever;
  bool mIsUnderloaded = false;
  bool mCanWatch = true;
  instant mNextStandbyNotification = kNever;
  // Nodes that have said that they can't watch, and until when that counts.
  std::map<std::string, instant, std::less<>> mCannotWatchUntil;
};

} // namespace plantaindale
