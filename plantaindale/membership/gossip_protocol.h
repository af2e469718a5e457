// gossip_protocol distributes the store's changes from the few nodes that watch
// the platform to all others. A node that receives a change announces it at
// once to a few peers in its failure domain, and every node compares revisions
// with random peers (anti-entropy). Traffic between domains is expensive, so
// each domain has its own watchers, and changes are fetched from another domain
// only if these fail.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/membership/peer_index.h"
#include "plantaindale/node/actions.h"

namespace plantaindale {

using protocol::control_message;

// Number of nodes that watch the platform, divided among the failure domains.
// Each domain has at least one.
inline constexpr std::size_t kWatcherCount = 8;

// Reads no clock and does no I/O; peers are chosen by a seeded generator. Not
// thread-safe.
class gossip_protocol
{
public:
  // The name, failure domain and control address are those of this node.
  gossip_protocol(std::string aName,
                  std::string aFailureDomain,
                  std::string aControlAddress,
                  std::uint64_t aSeed);

  // Commands.
  // Sends the messages that are due. `aLocalLoad` holds the load fields of the
  // digests; it may be empty unless IsDigestDue().
  void Step(instant aNow,
            const cluster_view& aView,
            const protocol::digest& aLocalLoad,
            action_list& aActions);
  void OnDigest(instant aNow,
                const protocol::digest& aDigest,
                const cluster_view& aView,
                action_list& aActions);
  // The peer at `aAddress` has a revision that may be newer than the local one.
  void OnPeerRevision(instant aNow,
                      std::int64_t aRevision,
                      const std::string& aAddress,
                      const cluster_view& aView,
                      action_list& aActions);
  // Sends a page that this node has just written to some peers of every domain,
  // so that nodes route requests by it before the watchers have received it.
  void BroadcastPage(const stored_object& aWritten,
                     const cluster_view& aView,
                     action_list& aActions);
  // Forwards updates that were new here to peers in the local domain.
  void ForwardUpdates(const object_delta& aUpdates,
                      const cluster_view& aView,
                      action_list& aActions);
  // Sends the peer a digest now.
  void SendDigest(const std::string& aAddress,
                  const cluster_view& aView,
                  const protocol::digest& aLocalLoad,
                  action_list& aActions) const
  {
    aActions.Send(aAddress, MakeDigest(aView, aLocalLoad));
  }
  // Sends a digest in the next Step(); called when a delta arrived with a gap.
  void ExpediteDigest() { mNextDigest = kNever; }
  // Sends the peer all changes of records and pages after the revision
  // `aKnown`.
  static void SendChanges(const std::string& aAddress,
                          std::int64_t aKnown,
                          const cluster_view& aView,
                          action_list& aActions);
  // Sends the peer, which has version `aKnown`, the configuration. It travels
  // outside the sequence of revisions, since the platform may keep it in a
  // separate sequence of changes.
  static void SendConfiguration(const std::string& aAddress,
                                std::int64_t aKnown,
                                const cluster_view& aView,
                                action_list& aActions);

  // Sets whether the platform's store accepts a watch of this node. While it
  // doesn't, other nodes of the domain are notified to watch instead.
  void SetCanWatch(bool aCanWatch) { mCanWatch = aCanWatch; }
  // An underloaded node sends digests more often, so that peers move shards to
  // it.
  void SetUnderloaded(bool aIsUnderloaded) { mIsUnderloaded = aIsUnderloaded; }

  // Queries.
  // Whether Step() may send a digest with the local load.
  bool IsDigestDue(instant aNow) const
  {
    return aNow >= mNextDigest || aNow >= mNextLoad;
  }
  // Whether this node should watch the platform: it is one of its domain's
  // watchers, or the view doesn't show it as active yet.
  bool ShouldWatch(instant aNow, const cluster_view& aView) const;
  // Pause between two watch calls. Only the first watcher of a domain uses the
  // short one; the others are standbys that receive changes from it. Each call
  // to the platform has a cost.
  duration WatchPause(instant aNow, const cluster_view& aView) const;

private:
  // The nodes of the view, as the lists from which peers are chosen.
  peer_index& Peers(const cluster_view& aView) const;
  // Up to `aCount` random ones of the addresses.
  std::vector<std::string> RandomPeers(
    const std::vector<std::string>& aAddresses,
    std::size_t aCount);
  // Asks the peer to send the changes that this node lacks.
  void RequestChanges(const std::string& aAddress,
                      const cluster_view& aView,
                      action_list& aActions);
  static void SendDelta(const std::vector<std::string>& aPeers,
                        const object_delta& aDelta,
                        action_list& aActions);
  // Requests changes from a remote domain if the local one has not delivered
  // them within kLocalDomainDelay.
  void RequestFromRemotePeer(instant aNow,
                             const cluster_view& aView,
                             action_list& aActions);
  // Store revisions or configuration numbers of a peer and of this node.
  struct version_pair
  {
    std::int64_t mPeerVersion;
    std::int64_t mLocalVersion;
  };
  // Pending request for changes or for the configuration.
  struct fetch_state
  {
    duration mRetryDelay; // after it a request counts as lost
    std::int64_t mRequested = 0;
    instant mRetryAt = kNever;
    std::int64_t mRemoteVersion = 0; // newest known in a remote domain
  };
  // If the peer is ahead: requests the changes at once from a peer in the local
  // domain; records a remote peer for RequestFromRemotePeer().
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
  // Number of nodes that can watch and precede this one in the watch order.
  std::size_t WatchRank(instant aNow, const cluster_view& aView) const;
  // Notifies the first nodes of the watch order that this node can't watch.
  void NotifyStandbyWatchers(instant aNow,
                             const cluster_view& aView,
                             action_list& aActions);
  // Announces a new revision or configuration to some local peers. Peers that
  // lack it request it, so that each receives it once. A change of the
  // evacuations, which digests carry whole, goes to other domains too.
  void Announce(const cluster_view& aView, action_list& aActions);
  std::string mName;
  std::string mFailureDomain;
  std::string mControlAddress;
  std::mt19937_64 mRandom;
  mutable peer_index mPeers; // use Peers()
  std::int64_t mAnnouncedRevision = 0;
  std::int64_t mAnnouncedConfiguration = 0;
  std::vector<std::string> mAnnouncedEvacuations;
  instant mNextDigest = kNever;
  instant mNextLoad = kNever;
  fetch_state mChanges;
  fetch_state mConfigurations;
  // Control address of the last remote peer that was ahead.
  std::string mRemotePeer;
  instant mRemoteAheadSince = kNever;
  bool mIsUnderloaded = false;
  bool mCanWatch = true;
  instant mNextStandbyNotification = kNever;
  // Nodes that reported that they can't watch, and when the report expires.
  std::map<std::string, instant, std::less<>> mCannotWatchUntil;
};

} // namespace plantaindale
