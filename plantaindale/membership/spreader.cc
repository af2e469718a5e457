#include "plantaindale/membership/spreader.h"

#include <algorithm>
#include <set>

#include "plantaindale/membership/witness_choice.h"

namespace plantaindale {
namespace {

constexpr duration kDigestEvery = std::chrono::milliseconds(500);
constexpr duration kHungryDigestEvery = std::chrono::milliseconds(125);
constexpr std::size_t kDigestPeers = 1;
constexpr std::size_t kAnnouncePeers = 4;
// Nodes in each other domain that hear of a page from its writer: two, since
// a message may be lost.
constexpr std::size_t kFarPeersPerDomain = 2;
// More than an answer takes between failure domains; then it's taken for lost.
constexpr duration kAskAgainAfter = std::chrono::milliseconds(20);
// A configuration of thousands of routes takes so long on a link of 10 Mbit/s.
constexpr duration kAskConfigurationAgainAfter = std::chrono::milliseconds(400);
// The watchers of a domain bring a change within this; only later it is asked
// for in another domain.
constexpr duration kOwnDomainTime = std::chrono::milliseconds(250);
// Changes that come close together are fetched together.
constexpr duration kWatchPause = std::chrono::milliseconds(150);
// Well within the time in which a configuration must be in force.
constexpr duration kStandbyPause = std::chrono::milliseconds(750);
// A watcher that the store turns away tells so many others of its domain, as
// long as it is turned away; they watch in its place for a while.
constexpr duration kCallWatchersEvery = std::chrono::milliseconds(500);
constexpr duration kUnableFor = std::chrono::milliseconds(2500);
constexpr std::size_t kWatchersCalled = 6;
// Nodes of one keyed service tell each other their load as often as it is
// measured.
constexpr duration kLoadEvery = std::chrono::milliseconds(250);
constexpr std::size_t kLoadPeers = 3;

} // namespace

spreader::spreader(std::string aName,
                   std::string aFailureDomain,
                   std::string aControlAddress,
                   std::uint64_t aSeed)
  : mName(std::move(aName))
  , mFailureDomain(std::move(aFailureDomain))
  , mControlAddress(std::move(aControlAddress))
  , mRandom(aSeed)
  , mChanges{ kAskAgainAfter }
  , mConfigurations{ kAskConfigurationAgainAfter }
{
}

void
spreader::Step(instant aNow,
               const cluster_view& aView,
               const protocol::digest& aOwn,
               action_list& aActions)
{
  Announce(aView, aActions);
  if (aView.Revision() == 0) {
    return;
  }
  AskFarPeer(aNow, aView, aActions);
  CallNextWatchers(aNow, aView, aActions);
  SendLoad(aNow, aView, aOwn, aActions);
  if (aNow < mNextDigest) {
    return;
  }
  mNextDigest = aNow + (mIsHungry ? kHungryDigestEvery : kDigestEvery);
  for (const std::string& peer : RandomPeers(aView, kDigestPeers, {})) {
    aActions.Send(peer, Digest(aView, aOwn));
  }
}

void
spreader::SendLoad(instant aNow,
                   const cluster_view& aView,
                   const protocol::digest& aOwn,
                   action_list& aActions)
{
  const service_configuration* service =
    aView.Configuration().Find(aOwn.service_name);
  const bool is_keyed = service != nullptr && service->mKey.has_value();
  if (aNow < mNextLoad || !is_keyed || !aOwn.takes_shards) {
    return;
  }
  mNextLoad = aNow + kLoadEvery;
  for (const std::string& peer :
       RandomPeers(aView, kLoadPeers, { aOwn.service_name })) {
    aActions.Send(peer, Digest(aView, aOwn));
  }
}

void
spreader::Announce(const cluster_view& aView, action_list& aActions)
{
  const std::int64_t number = aView.Configuration().mNumber;
  const bool is_new =
    aView.Revision() > mAnnouncedRevision || number > mAnnouncedConfiguration;
  if (!is_new) {
    return;
  }
  const bool has_just_started = mAnnouncedRevision == 0;
  mAnnouncedRevision = aView.Revision();
  mAnnouncedConfiguration = number;
  if (has_just_started) {
    return; // others know all this
  }
  for (const std::string& peer :
       RandomPeers(aView, kAnnouncePeers, { {}, true })) {
    aActions.Send(peer, Digest(aView, protocol::digest()));
  }
}

void
spreader::SendConfiguration(const std::string& aAddress,
                            const cluster_view& aView,
                            action_list& aActions)
{
  const stored_object* object = aView.ConfigurationObject();
  if (object == nullptr) {
    return;
  }
  object_delta delta;
  delta.objects.push_back(*object);
  SendDelta({ aAddress }, delta, aActions);
}

void
spreader::SendChanges(const std::string& aAddress,
                      std::int64_t aKnown,
                      const cluster_view& aView,
                      action_list& aActions)
{
  SendDelta({ aAddress }, aView.ChangesAfter(aKnown), aActions);
}

void
spreader::SpreadPage(const stored_object& aWritten,
                     const cluster_view& aView,
                     action_list& aActions)
{
  object_delta news;
  news.objects.push_back(
    aView.ChangeAfter(aWritten.revision - 1, aWritten.kind, aWritten.name));
  PassOn(news, aView, aActions);
  std::map<std::string_view, std::vector<std::string>> by_domain;
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.IsActive() && record.mFailureDomain != mFailureDomain) {
      by_domain[record.mFailureDomain].push_back(record.mAddresses.mControl);
    }
  }
  for (const auto& [domain, addresses] : by_domain) {
    std::vector<std::string> chosen;
    std::sample(addresses.begin(),
                addresses.end(),
                std::back_inserter(chosen),
                kFarPeersPerDomain,
                mRandom);
    SendDelta(chosen, news, aActions);
  }
}

void
spreader::PassOn(const object_delta& aNews,
                 const cluster_view& aView,
                 action_list& aActions)
{
  SendDelta(RandomPeers(aView, kAnnouncePeers, { {}, true }), aNews, aActions);
}

void
spreader::SendDelta(const std::vector<std::string>& aPeers,
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
spreader::Digest(const cluster_view& aView, const protocol::digest& aOwn) const
{
  protocol::digest digest = aOwn;
  digest.address = mControlAddress;
  digest.revision = aView.KnownRevision();
  digest.config_number = aView.Configuration().mNumber;
  control_message message;
  message.__set_known(digest);
  return message;
}

void
spreader::OnDigest(instant aNow,
                   const protocol::digest& aDigest,
                   const cluster_view& aView,
                   action_list& aActions)
{
  if (aDigest.cannot_watch) {
    mUnableUntil[aDigest.sender.name] = aNow + kUnableFor;
  }
  const bool is_behind = aDigest.revision < aView.Revision();
  const bool is_far_behind = is_behind && IsFar(aView, aDigest.address);
  const bool has_old_configuration =
    aDigest.config_number < aView.Configuration().mNumber;
  if (is_behind && (aDigest.wants_changes || !is_far_behind)) {
    SendChanges(aDigest.address, aDigest.revision, aView, aActions);
  }
  if (has_old_configuration && aDigest.wants_changes) {
    SendConfiguration(aDigest.address, aView, aActions);
  }
  // Announcements and answers name no sender; to answer these too could go on
  // for ever between two nodes that each know something new.
  const bool is_told =
    !aDigest.sender.name.empty() && (has_old_configuration || is_far_behind);
  if (is_told) {
    aActions.Send(aDigest.address, Digest(aView, protocol::digest()));
  }
  OnNewsSeen(aNow, aDigest.revision, aDigest.address, aView, aActions);
  OnSeen(aNow,
         aDigest.address,
         { aDigest.config_number, aView.Configuration().mNumber },
         mConfigurations,
         aView,
         aActions);
}

void
spreader::OnNewsSeen(instant aNow,
                     std::int64_t aRevision,
                     const std::string& aAddress,
                     const cluster_view& aView,
                     action_list& aActions)
{
  OnSeen(aNow,
         aAddress,
         { aRevision, aView.KnownRevision() },
         mChanges,
         aView,
         aActions);
}

void
spreader::OnSeen(instant aNow,
                 const std::string& aAddress,
                 progress aProgress,
                 wish& aWish,
                 const cluster_view& aView,
                 action_list& aActions)
{
  if (aProgress.mThere <= aProgress.mHere) {
    return;
  }
  if (aProgress.mHere > 0 && IsFar(aView, aAddress)) {
    const bool is_noted = aWish.mFar > aProgress.mHere;
    mFarSince = is_noted ? mFarSince : aNow;
    aWish.mFar = std::max(aWish.mFar, aProgress.mThere);
    mFarPeer = aAddress;
    return;
  }
  if (aProgress.mThere > aWish.mAsked || aNow >= aWish.mAskAgain) {
    aWish.mAsked = aProgress.mThere;
    aWish.mAskAgain = aNow + aWish.mAskAgainAfter;
    AskFor(aAddress, aView, aActions);
  }
}

void
spreader::AskFarPeer(instant aNow,
                     const cluster_view& aView,
                     action_list& aActions)
{
  const bool is_behind = mChanges.mFar > aView.Revision() ||
                         mConfigurations.mFar > aView.Configuration().mNumber;
  if (is_behind && aNow >= mFarSince + kOwnDomainTime) {
    mFarSince = aNow;
    AskFor(mFarPeer, aView, aActions);
  }
}

void
spreader::AskFor(const std::string& aAddress,
                 const cluster_view& aView,
                 action_list& aActions)
{
  protocol::digest request;
  request.wants_changes = true;
  aActions.Send(aAddress, Digest(aView, request));
}

std::vector<const node_record*>
spreader::WatchOrder(const cluster_view& aView) const
{
  std::vector<const node_record*> order;
  const node_record* self = aView.FindNode(mName);
  if (self == nullptr) {
    return order;
  }
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.IsActive() && record.mFailureDomain == self->mFailureDomain) {
      order.push_back(&record);
    }
  }
  std::sort(order.begin(), order.end(), [&](const auto* aA, const auto* aB) {
    return RendezvousScore(self->mFailureDomain, aA->mIdentity.name) <
           RendezvousScore(self->mFailureDomain, aB->mIdentity.name);
  });
  return order;
}

std::size_t
spreader::WatchRank(instant aNow, const cluster_view& aView) const
{
  std::size_t rank = 0;
  for (const node_record* record : WatchOrder(aView)) {
    const std::string& name = record->mIdentity.name;
    if (name == mName) {
      break;
    }
    const auto unable = mUnableUntil.find(name);
    const bool is_unable =
      unable != mUnableUntil.end() && aNow < unable->second;
    rank += is_unable ? 0 : 1;
  }
  return rank;
}

bool
spreader::ShouldWatch(instant aNow, const cluster_view& aView) const
{
  const node_record* self = aView.FindNode(mName);
  if (self == nullptr || !self->IsActive()) {
    return true;
  }
  std::set<std::string_view> domains;
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.IsActive()) {
      domains.insert(record.mFailureDomain);
    }
  }
  const std::size_t wanted =
    std::max<std::size_t>(1, kWatchers / domains.size());
  return WatchRank(aNow, aView) < wanted;
}

duration
spreader::WatchPause(instant aNow, const cluster_view& aView) const
{
  return WatchRank(aNow, aView) == 0 ? kWatchPause : kStandbyPause;
}

// Those that come after the present watchers, as far as they are known to be
// able.
void
spreader::CallNextWatchers(instant aNow,
                           const cluster_view& aView,
                           action_list& aActions)
{
  if (mCanWatch || aNow < mNextCall || !ShouldWatch(aNow, aView)) {
    return;
  }
  mNextCall = aNow + kCallWatchersEvery;
  protocol::digest own;
  own.sender.name = mName;
  own.cannot_watch = true;
  std::size_t left = kWatchersCalled;
  for (const node_record* record : WatchOrder(aView)) {
    if (record->mIdentity.name != mName && left > 0) {
      --left;
      aActions.Send(record->mAddresses.mControl, Digest(aView, own));
    }
  }
}

bool
spreader::IsFar(const cluster_view& aView, std::string_view aAddress) const
{
  const auto& nodes = aView.Nodes();
  const auto found =
    std::find_if(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return aNode.second.mAddresses.mControl == aAddress;
    });
  return found != nodes.end() && found->second.mFailureDomain != mFailureDomain;
}

std::vector<std::string>
spreader::RandomPeers(const cluster_view& aView,
                      std::size_t aCount,
                      peer_filter aFilter)
{
  std::vector<std::string> addresses;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool takes_part = aFilter.mService.empty()
                              ? record.IsActive()
                              : record.TakesWork(aFilter.mService);
    const bool is_excluded =
      aFilter.mIsNearOnly && record.mFailureDomain != mFailureDomain;
    if (takes_part && !is_excluded && name != mName) {
      addresses.push_back(record.mAddresses.mControl);
    }
  }
  std::vector<std::string> chosen;
  std::sample(addresses.begin(),
              addresses.end(),
              std::back_inserter(chosen),
              aCount,
              mRandom);
  return chosen;
}

} // namespace plantaindale
