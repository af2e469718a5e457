// peer_index lists the active nodes of a view by what gossip chooses them for,
// so that a choice doesn't look at every record of the cluster.
//
//   peer_index peers("n1", "domain-1");
//   peers.Update(view);
//   const std::vector<std::string>& addresses = peers.InLocalDomain();
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantaindale/membership/cluster_view.h"

namespace plantaindale {

// Not thread-safe. Lists of addresses hold control addresses in the order of
// the node names, without that of the local node.
class peer_index
{
public:
  peer_index(std::string aName, std::string aFailureDomain);

  // Commands.
  // Does nothing while no record of the view has changed. All calls must be for
  // the same view.
  void Update(const cluster_view& aView);

  // Queries; valid until a record changes.
  const std::vector<std::string>& Active() const { return mActive; }
  const std::vector<std::string>& InLocalDomain() const
  {
    return mInLocalDomain;
  }
  // Nodes that accept work of the service.
  const std::vector<std::string>& AcceptingWork(std::string_view aService);
  const std::map<std::string_view, std::vector<std::string>>& RemoteDomains()
    const
  {
    return mRemoteDomains;
  }
  // Number of failure domains with an active node.
  std::size_t DomainCount() const { return mDomainCount; }
  // Whether the node at the control address, active or not, is in another
  // failure domain.
  bool IsInRemoteDomain(std::string_view aAddress) const;
  // Active nodes of the local domain, with the local one, in order of
  // preference as watchers: those with the most capacity first, since a watcher
  // reads every change in full. Empty until the local node has a record.
  const std::vector<const node_record*>& WatchOrder() const
  {
    return mWatchOrder;
  }

private:
  void SortWatchers(const cluster_view& aView);

  std::string mName;
  std::string mFailureDomain;
  std::int64_t mRecordsGeneration = -1;
  const cluster_view::node_map* mNodes = nullptr;
  std::vector<std::string> mActive;
  std::vector<std::string> mInLocalDomain;
  std::map<std::string, std::vector<std::string>, std::less<>> mAcceptingWork;
  std::map<std::string_view, std::vector<std::string>> mRemoteDomains;
  std::size_t mDomainCount = 0;
  // By control address; the first node by name if several have the address.
  std::unordered_map<std::string_view, bool> mIsInRemoteDomain;
  std::vector<const node_record*> mWatchOrder;
};

} // namespace plantaindale
