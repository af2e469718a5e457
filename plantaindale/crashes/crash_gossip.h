// crash_gossip decides which nodes learn of a change of the crash ledger. A
// change goes at once to some nodes of every failure domain, and a node to
// which it is news forwards it in its own domain. What is lost on the way is
// found by comparing hashes in digests. The metadata store isn't needed.
//
//   gossip.Broadcast(ledger.Records(changed, now), view, actions);
#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/node/actions.h"

namespace plantaindale {

// Reads no clock and does no I/O; peers are chosen by a seeded generator. Not
// thread-safe.
class crash_gossip
{
public:
  using record_span = std::span<const protocol::crash_record>;

  // Larger sets of records are sent in several messages.
  static constexpr std::size_t kMaxMessageBytes = 32 * 1024;
  // Between two exchanges with one peer.
  static constexpr duration kExchangeInterval = std::chrono::milliseconds(500);

  // The name and failure domain are those of this node.
  crash_gossip(std::string aName,
               std::string aFailureDomain,
               std::uint64_t aSeed);

  // Sends records that have changed here to nodes of every failure domain.
  void Broadcast(record_span aRecords,
                 const cluster_view& aView,
                 action_list& aActions);
  // Sends records that were news here to nodes of the local failure domain.
  void Forward(record_span aRecords,
               const cluster_view& aView,
               action_list& aActions);
  // Sends records to one peer.
  static void Send(const std::string& aAddress,
                   record_span aRecords,
                   action_list& aActions);
  // Whether records may be exchanged with the peer now; counts as an exchange.
  bool TryExchange(const std::string& aAddress, instant aNow);

private:
  using address_list = std::vector<std::string>;

  // Active nodes other than this one, by failure domain.
  std::map<std::string_view, address_list> PeersByDomain(
    const cluster_view& aView) const;
  void SendToSome(const address_list& aPeers,
                  std::size_t aCount,
                  record_span aRecords,
                  action_list& aActions);

  std::string mName;
  std::string mFailureDomain;
  std::mt19937_64 mRandom;
  std::map<std::string, instant> mExchangedAt; // by address, the recent ones
};

} // namespace plantaindale
