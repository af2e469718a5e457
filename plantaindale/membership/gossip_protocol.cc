#include "plantaindale/membership/gossip_protocol.h"

#include <algorithm>
#include <iterator>

namespace plantaindale {
namespace {

constexpr duration kDigestInterval = std::chrono::milliseconds(500);
constexpr duration kUnderloadedDigestInterval = std::chrono::milliseconds(125);
constexpr std::size_t kDigestPeers = 1;
constexpr std::size_t kAnnouncementPeers = 4;
// Nodes per remote domain to which the writer of a page sends it; two, since a
// message may be lost.
constexpr std::size_t kRemotePeersPerDomain = 2;
// Longer than a reply takes between failure domains; later the request counts
// as lost.
constexpr duration kChangesRetryDelay = std::chrono::milliseconds(20);
// Transfer time of a configuration with thousands of routes at 10 Mbit/s.
constexpr duration kConfigurationRetryDelay = std::chrono::milliseconds(400);
// Time within which the local watchers deliver a change; later it is requested
// from a remote domain.
constexpr duration kLocalDomainDelay = std::chrono::milliseconds(250);
// Batches changes that arrive close together.
constexpr duration kActiveWatchPause = std::chrono::milliseconds(300);
// Well below the time limit for applying a new configuration.
constexpr duration kStandbyWatchPause = std::chrono::milliseconds(750);
// While the store rejects its watch, a watcher notifies kMaxNotifiedStandbys
// nodes of its domain at this interval. Each report is valid for
// kCannotWatchTtl.
constexpr duration kStandbyNotificationInterval =
  std::chrono::milliseconds(500);
constexpr duration kCannotWatchTtl = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxNotifiedStandbys = 6;
// Nodes of one keyed service exchange their load as often as it is measured.
constexpr duration kLoadInterval = std::chrono::milliseconds(250);
constexpr std::size_t kLoadPeers = 3;

} // namespace

gossip_protocol::gossip_protocol(std::string aName,
                                 std::string aFailureDomain,
                                 std::string aControlAddress,
                                 std::uint64_t aSeed)
  : mName(std::move(aName))
  , mFailureDomain(std::move(aFailureDomain))
  , mControlAddress(std::move(aControlAddress))
  , mRandom(aSeed)
  , mPeers(mName, mFailureDomain)
  , mChanges{ kChangesRetryDelay }
  , mConfigurations{ kConfigurationRetryDelay }
{
}

void
gossip_protocol::Step(instant aNow,
                      const cluster_view& aView,
                      const protocol::digest& aLocalLoad,
                      action_list& aActions)
{
  Announce(aView, aActions);
  if (aView.Revision() == 0) {
    return;
  }
  RequestFromRemotePeer(aNow, aView, aActions);
  NotifyStandbyWatchers(aNow, aView, aActions);
  SendLoad(aNow, aView, aLocalLoad, aActions);
  if (aNow < mNextDigest) {
    return;
  }
  mNextDigest =
    aNow + (mIsUnderloaded ? kUnderloadedDigestInterval : kDigestInterval);
  for (const std::string& peer :
       RandomPeers(Peers(aView).Active(), kDigestPeers)) {
    aActions.Send(peer, MakeDigest(aView, aLocalLoad));
  }
}

void
gossip_protocol::SendLoad(instant aNow,
                          const cluster_view& aView,
                          const protocol::digest& aLocalLoad,
                          action_list& aActions)
{
  const service_configuration* service =
    aView.Configuration().Find(aLocalLoad.service_name);
  const bool is_keyed = service != nullptr && service->mKey.has_value();
  if (aNow < mNextLoad || !is_keyed || !aLocalLoad.takes_shards) {
    return;
  }
  mNextLoad = aNow + kLoadInterval;
  for (const std::string& peer : RandomPeers(
         Peers(aView).AcceptingWork(aLocalLoad.service_name), kLoadPeers)) {
    aActions.Send(peer, MakeDigest(aView, aLocalLoad));
  }
}

void
gossip_protocol::Announce(const cluster_view& aView, action_list& aActions)
{
  const std::int64_t number = aView.Configuration().mNumber;
  const bool has_other_evacuations =
    aView.Evacuations().Domains() != mAnnouncedEvacuations;
  const bool is_new = aView.Revision() > mAnnouncedRevision ||
                      number > mAnnouncedConfiguration || has_other_evacuations;
  if (!is_new) {
    return;
  }
  const bool is_first_announcement = mAnnouncedRevision == 0;
  mAnnouncedRevision = aView.Revision();
  mAnnouncedConfiguration = number;
  mAnnouncedEvacuations = aView.Evacuations().Domains();
  if (is_first_announcement) {
    return; // peers already have this state
  }
  for (const std::string& peer :
       RandomPeers(Peers(aView).InLocalDomain(), kAnnouncementPeers)) {
    aActions.Send(peer, MakeDigest(aView, protocol::digest()));
  }
  if (!has_other_evacuations) {
    return;
  }
  for (const auto& [domain, addresses] : Peers(aView).RemoteDomains()) {
    for (const std::string& peer :
         RandomPeers(addresses, kRemotePeersPerDomain)) {
      aActions.Send(peer, MakeDigest(aView, protocol::digest()));
    }
  }
}

void
gossip_protocol::SendConfiguration(const std::string& aAddress,
                                   std::int64_t aKnown,
                                   const cluster_view& aView,
                                   action_list& aActions)
{
  object_delta delta;
  delta.objects.push_back(aView.ConfigurationSince(aKnown));
  SendDelta({ aAddress }, delta, aActions);
}

void
gossip_protocol::SendChanges(const std::string& aAddress,
                             std::int64_t aKnown,
                             const cluster_view& aView,
                             action_list& aActions)
{
  SendDelta({ aAddress }, aView.RecordsAndPagesAfter(aKnown), aActions);
}

void
gossip_protocol::BroadcastPage(const stored_object& aWritten,
                               const cluster_view& aView,
                               action_list& aActions)
{
  if (EraOf(aWritten.revision) < aView.Era()) {
    return; // the store has lost this write
  }
  object_delta update;
  update.objects.push_back(aView.ObjectChangeAfter(
    aWritten.revision - 1, aWritten.kind, aWritten.name));
  ForwardUpdates(update, aView, aActions);
  for (const auto& [domain, addresses] : Peers(aView).RemoteDomains()) {
    SendDelta(RandomPeers(addresses, kRemotePeersPerDomain), update, aActions);
  }
}

void
gossip_protocol::ForwardUpdates(const object_delta& aUpdates,
                                const cluster_view& aView,
                                action_list& aActions)
{
  SendDelta(RandomPeers(Peers(aView).InLocalDomain(), kAnnouncementPeers),
            aUpdates,
            aActions);
}

void
gossip_protocol::SendDelta(const std::vector<std::string>& aPeers,
                           const object_delta& aDelta,
                           action_list& aActions)
{
  control_message message;
  message.__set_delta(aDelta);
  for (const std::string& peer : aPeers) {
    aActions.Send(peer, message);
  }
}

control_message
gossip_protocol::MakeDigest(const cluster_view& aView,
                            const protocol::digest& aLocalLoad) const
{
  protocol::digest digest = aLocalLoad;
  digest.address = mControlAddress;
  digest.revision = aView.ContiguousRevision();
  digest.config_number = aView.Configuration().mNumber;
  digest.evacuations_revision = aView.Evacuations().Revision();
  digest.evacuated_domains = aView.Evacuations().Domains();
  control_message message;
  message.__set_known(digest);
  return message;
}

void
gossip_protocol::OnDigest(instant aNow,
                          const protocol::digest& aDigest,
                          const cluster_view& aView,
                          action_list& aActions)
{
  if (aDigest.cannot_watch) {
    mCannotWatchUntil[aDigest.sender.name] = aNow + kCannotWatchTtl;
  }
  const bool is_behind = aDigest.revision < aView.Revision();
  const bool is_remote_and_behind =
    is_behind && Peers(aView).IsInRemoteDomain(aDigest.address);
  const bool has_old_configuration =
    aDigest.config_number < aView.Configuration().mNumber;
  if (is_behind && (aDigest.wants_changes || !is_remote_and_behind)) {
    SendChanges(aDigest.address, aDigest.revision, aView, aActions);
  }
  if (has_old_configuration && aDigest.wants_changes) {
    SendConfiguration(aDigest.address, aDigest.config_number, aView, aActions);
  }
  // Announcements and replies carry no sender name. Replying to these as well
  // could loop forever between two nodes that each have something new.
  const evacuation_list& evacuations = aView.Evacuations();
  const bool has_old_evacuations =
    aDigest.evacuations_revision < evacuations.Revision() &&
    (aDigest.evacuations_revision == 0 ||
     aDigest.evacuated_domains != evacuations.Domains());
  const bool needs_reply =
    !aDigest.sender.name.empty() &&
    (has_old_configuration || is_remote_and_behind || has_old_evacuations);
  if (needs_reply) {
    aActions.Send(aDigest.address, MakeDigest(aView, protocol::digest()));
  }
  OnPeerRevision(aNow, aDigest.revision, aDigest.address, aView, aActions);
  OnPeerVersion(aNow,
                aDigest.address,
                { aDigest.config_number, aView.Configuration().mNumber },
                mConfigurations,
                aView,
                aActions);
}

void
gossip_protocol::OnPeerRevision(instant aNow,
                                std::int64_t aRevision,
                                const std::string& aAddress,
                                const cluster_view& aView,
                                action_list& aActions)
{
  OnPeerVersion(aNow,
                aAddress,
                { aRevision, aView.ContiguousRevision() },
                mChanges,
                aView,
                aActions);
}

void
gossip_protocol::OnPeerVersion(instant aNow,
                               const std::string& aAddress,
                               version_pair aVersions,
                               fetch_state& aFetch,
                               const cluster_view& aView,
                               action_list& aActions)
{
  if (aVersions.mPeerVersion <= aVersions.mLocalVersion) {
    return;
  }
  if (aVersions.mLocalVersion > 0 && Peers(aView).IsInRemoteDomain(aAddress)) {
    const bool is_remote_known_ahead =
      aFetch.mRemoteVersion > aVersions.mLocalVersion;
    mRemoteAheadSince = is_remote_known_ahead ? mRemoteAheadSince : aNow;
    aFetch.mRemoteVersion =
      std::max(aFetch.mRemoteVersion, aVersions.mPeerVersion);
    mRemotePeer = aAddress;
    return;
  }
  if (aVersions.mPeerVersion > aFetch.mRequested || aNow >= aFetch.mRetryAt) {
    aFetch.mRequested = aVersions.mPeerVersion;
    aFetch.mRetryAt = aNow + aFetch.mRetryDelay;
    RequestChanges(aAddress, aView, aActions);
  }
}

void
gossip_protocol::RequestFromRemotePeer(instant aNow,
                                       const cluster_view& aView,
                                       action_list& aActions)
{
  const bool is_behind =
    mChanges.mRemoteVersion > aView.Revision() ||
    mConfigurations.mRemoteVersion > aView.Configuration().mNumber;
  if (is_behind && aNow >= mRemoteAheadSince + kLocalDomainDelay) {
    mRemoteAheadSince = aNow;
    RequestChanges(mRemotePeer, aView, aActions);
  }
}

void
gossip_protocol::RequestChanges(const std::string& aAddress,
                                const cluster_view& aView,
                                action_list& aActions)
{
  protocol::digest request;
  request.wants_changes = true;
  aActions.Send(aAddress, MakeDigest(aView, request));
}

std::size_t
gossip_protocol::WatchRank(instant aNow, const cluster_view& aView) const
{
  std::size_t rank = 0;
  for (const node_record* record : Peers(aView).WatchOrder()) {
    const std::string& name = record->mIdentity.name;
    if (name == mName) {
      break;
    }
    const auto reported = mCannotWatchUntil.find(name);
    const bool cannot_watch_now =
      reported != mCannotWatchUntil.end() && aNow < reported->second;
    rank += cannot_watch_now ? 0 : 1;
  }
  return rank;
}

bool
gossip_protocol::ShouldWatch(instant aNow, const cluster_view& aView) const
{
  const node_record* self = aView.FindNode(mName);
  if (self == nullptr || !self->IsActive()) {
    return true;
  }
  const std::size_t target_count =
    std::max<std::size_t>(1, kWatcherCount / Peers(aView).DomainCount());
  return WatchRank(aNow, aView) < target_count;
}

duration
gossip_protocol::WatchPause(instant aNow, const cluster_view& aView) const
{
  return WatchRank(aNow, aView) == 0 ? kActiveWatchPause : kStandbyWatchPause;
}

void
gossip_protocol::NotifyStandbyWatchers(instant aNow,
                                       const cluster_view& aView,
                                       action_list& aActions)
{
  if (mCanWatch || aNow < mNextStandbyNotification ||
      !ShouldWatch(aNow, aView)) {
    return;
  }
  mNextStandbyNotification = aNow + kStandbyNotificationInterval;
  protocol::digest watch_notice;
  watch_notice.sender.name = mName;
  watch_notice.cannot_watch = true;
  std::size_t remaining_notices = kMaxNotifiedStandbys;
  for (const node_record* record : Peers(aView).WatchOrder()) {
    if (record->mIdentity.name != mName && remaining_notices > 0) {
      --remaining_notices;
      aActions.Send(record->mAddresses.mControl,
                    MakeDigest(aView, watch_notice));
    }
  }
}

peer_index&
gossip_protocol::Peers(const cluster_view& aView) const
{
  mPeers.Update(aView);
  return mPeers;
}

std::vector<std::string>
gossip_protocol::RandomPeers(const std::vector<std::string>& aAddresses,
                             std::size_t aCount)
{
  std::vector<std::string> chosen;
  std::sample(aAddresses.begin(),
              aAddresses.end(),
              std::back_inserter(chosen),
              aCount,
              mRandom);
  return chosen;
}

} // namespace plantaindale
