#include "plantaindale/crashes/crash_gossip.h"

#include <algorithm>
#include <iterator>

namespace plantaindale {
namespace {

constexpr std::size_t kLocalPeers = 4;
// Two, since a message may be lost.
constexpr std::size_t kRemotePeersPerDomain = 2;
// Upper bounds of the encoded size without texts.
constexpr std::size_t kRecordOverhead = 64;
constexpr std::size_t kEndOverhead = 64;

std::size_t
EncodedSize(const protocol::crash_record& aRecord)
{
  std::size_t size = kRecordOverhead + aRecord.fingerprint.size() +
                     aRecord.service_name.size() + aRecord.target.size();
  for (const protocol::ended_run& run : aRecord.ends) {
    size += kEndOverhead + run.instance.size();
  }
  return size;
}

} // namespace

crash_gossip::crash_gossip(std::string aName,
                           std::string aFailureDomain,
                           std::uint64_t aSeed)
  : mName(std::move(aName))
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aSeed)
{
}

void
crash_gossip::Broadcast(record_span aRecords,
                        const cluster_view& aView,
                        action_list& aActions)
{
  for (const auto& [domain, peers] : PeersByDomain(aView)) {
    const bool is_local = domain == mFailureDomain;
    SendToSome(peers,
               is_local ? kLocalPeers : kRemotePeersPerDomain,
               aRecords,
               aActions);
  }
}

void
crash_gossip::Forward(record_span aRecords,
                      const cluster_view& aView,
                      action_list& aActions)
{
  const auto peers = PeersByDomain(aView);
  if (const auto local = peers.find(mFailureDomain); local != peers.end()) {
    SendToSome(local->second, kLocalPeers, aRecords, aActions);
  }
}

void
crash_gossip::Send(const std::string& aAddress,
                   record_span aRecords,
                   action_list& aActions)
{
  while (!aRecords.empty()) {
    std::size_t count = 1;
    std::size_t size = EncodedSize(aRecords.front());
    while (count < aRecords.size() &&
           size + EncodedSize(aRecords[count]) <= kMaxMessageBytes) {
      size += EncodedSize(aRecords[count]);
      ++count;
    }
    protocol::control_message message;
    message.__set_crashes({ aRecords.begin(), aRecords.begin() + count });
    aActions.Send(aAddress, std::move(message));
    aRecords = aRecords.subspan(count);
  }
}

bool
crash_gossip::TryExchange(const std::string& aAddress, instant aNow)
{
  std::erase_if(mExchangedAt, [&](const auto& aExchange) {
    return aNow >= aExchange.second + kExchangeInterval;
  });
  return mExchangedAt.try_emplace(aAddress, aNow).second;
}

std::map<std::string_view, crash_gossip::address_list>
crash_gossip::PeersByDomain(const cluster_view& aView) const
{
  std::map<std::string_view, address_list> peers;
  for (const auto& [name, record] : aView.Nodes()) {
    if (record.IsActive() && name != mName) {
      peers[record.mFailureDomain].push_back(record.mAddresses.mControl);
    }
  }
  return peers;
}

void
crash_gossip::SendToSome(const address_list& aPeers,
                         std::size_t aCount,
                         record_span aRecords,
                         action_list& aActions)
{
  address_list chosen;
  std::sample(
    aPeers.begin(), aPeers.end(), std::back_inserter(chosen), aCount, mRandom);
  for (const std::string& peer : chosen) {
    Send(peer, aRecords, aActions);
  }
}

} // namespace plantaindale
