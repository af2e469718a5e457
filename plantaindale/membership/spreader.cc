#include "plantaindale/membership/spreader.h"

#include <algorithm>
#include <set>

#include "plantaindale/membership/witness_choice.h"

namespace plantaindale {
namespace {

constexpr duration kDigestEvery = std::chrono::milliseconds(500);
constexpr duration kHungryDigestEvery = std::chrono::milliseconds(125);
constexpr std::size_t kDigestPeers = 1;
constexpr std::size_t kPushPeers = 4;
// More than an answer takes between failure domains; then it's taken for lost.
constexpr duration kAskAgainAfter = std::chrono::milliseconds(20);
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
                   std::string aControlAddress,
                   std::uint64_t aSeed)
  : mName(std::move(aName))
  , mControlAddress(std::move(aControlAddress))
  , mRandom(aSeed)
{
}

void
spreader::Step(instant aNow,
               const cluster_view& aView,
               const protocol::digest& aOwn,
               action_list& aActions)
{
  if (aView.Configuration().mNumber > mPushedConfiguration) {
    PushConfiguration(aView, aActions);
  }
  if (aView.Revision() > mPushedRevision) {
    Push(aView, aActions);
  }
  if (aView.Revision() == 0) {
    return;
  }
  CallNextWatchers(aNow, aView, aActions);
  SendLoad(aNow, aView, aOwn, aActions);
  if (aNow < mNextDigest) {
    return;
  }
  mNextDigest = aNow + (mIsHungry ? kHungryDigestEvery : kDigestEvery);
  for (const std::string& peer : RandomPeers(aView, kDigestPeers)) {
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
       RandomPeers(aView, kLoadPeers, aOwn.service_name)) {
    aActions.Send(peer, Digest(aView, aOwn));
  }
}

void
spreader::Push(const cluster_view& aView, action_list& aActions)
{
  const std::int64_t before = mPushedRevision;
  mPushedRevision = aView.Revision();
  if (before == 0) {
    return; // just started; others know all this
  }
  // Only the news that there is news: who lacks it asks, and gets it once.
  for (const std::string& peer : RandomPeers(aView, kPushPeers)) {
    aActions.Send(peer, Digest(aView, protocol::digest()));
  }
}

void
spreader::PushConfiguration(const cluster_view& aView, action_list& aActions)
{
  const std::int64_t before = mPushedConfiguration;
  mPushedConfiguration = aView.Configuration().mNumber;
  if (before == 0) {
    return; // just started; others know it
  }
  for (const std::string& peer : RandomPeers(aView, kPushPeers)) {
    SendConfiguration(peer, aView, aActions);
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
  control_message message;
  message.__set_delta(std::move(delta));
  aActions.Send(aAddress, message);
}

control_message
spreader::Digest(const cluster_view& aView, const protocol::digest& aOwn) const
{
  protocol::digest digest = aOwn;
  digest.address = mControlAddress;
  digest.revision = aView.Revision();
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
  OnRevisionSeen(aNow, aDigest.revision, aDigest.address, aView, aActions);
  const std::int64_t known = aView.Configuration().mNumber;
  if (aDigest.config_number < known) {
    SendConfiguration(aDigest.address, aView, aActions);
  } else if (aDigest.config_number > known &&
             aDigest.revision <= aView.Revision()) {
    AskFor(aDigest.address, aView, aActions);
  }
}

void
spreader::OnRevisionSeen(instant aNow,
                         std::int64_t aRevision,
                         const std::string& aAddress,
                         const cluster_view& aView,
                         action_list& aActions)
{
  if (aRevision > aView.Revision()) {
    if (aRevision > mAskedRevision || aNow >= mAskAgain) {
      mAskedRevision = aRevision;
      mAskAgain = aNow + kAskAgainAfter;
      AskFor(aAddress, aView, aActions);
    }
  } else if (aRevision < aView.Revision()) {
    control_message message;
    message.__set_delta(aView.ChangesAfter(aRevision));
    aActions.Send(aAddress, message);
  }
}

void
spreader::AskFor(const std::string& aAddress,
                 const cluster_view& aView,
                 action_list& aActions)
{
  // A digest that shows less than its receiver knows brings the difference.
  aActions.Send(aAddress, Digest(aView, protocol::digest()));
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
  std::size_t wanted = std::max<std::size_t>(1, kWatchers / domains.size());
  for (const node_record* record : WatchOrder(aView)) {
    const std::string& name = record->mIdentity.name;
    const auto unable = mUnableUntil.find(name);
    const bool is_unable =
      unable != mUnableUntil.end() && aNow < unable->second;
    if (name == mName) {
      return wanted > 0;
    }
    wanted -= is_unable || wanted == 0 ? 0 : 1;
  }
  return true;
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

std::vector<std::string>
spreader::RandomPeers(const cluster_view& aView,
                      std::size_t aCount,
                      std::string_view aService)
{
  std::vector<std::string> addresses;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool fits =
      aService.empty() ? record.IsActive() : record.TakesWork(aService);
    if (fits && name != mName) {
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
