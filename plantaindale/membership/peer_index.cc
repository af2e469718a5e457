#include "plantaindale/membership/peer_index.h"

#include <algorithm>
#include <utility>

#include "plantaindale/membership/witness_selection.h"

namespace plantaindale {

peer_index::peer_index(std::string aName, std::string aFailureDomain)
  : mName(std::move(aName))
  , mFailureDomain(std::move(aFailureDomain))
{
}

void
peer_index::Update(const cluster_view& aView)
{
  if (mRecordsGeneration == aView.RecordsGeneration()) {
    return;
  }
  mRecordsGeneration = aView.RecordsGeneration();
  mNodes = &aView.Nodes();
  mActive.clear();
  mInLocalDomain.clear();
  mAcceptingWork.clear();
  mRemoteDomains.clear();
  mIsInRemoteDomain.clear();
  bool has_local_domain = false;
  for (const auto& [name, record] : *mNodes) {
    const std::string& address = record.mAddresses.mControl;
    const bool is_local_domain = record.mFailureDomain == mFailureDomain;
    mIsInRemoteDomain.try_emplace(address, !is_local_domain);
    if (!record.IsActive()) {
      continue;
    }
    has_local_domain = has_local_domain || is_local_domain;
    if (!is_local_domain) {
      mRemoteDomains[record.mFailureDomain].push_back(address);
    }
    if (name == mName) {
      continue;
    }
    mActive.push_back(address);
    if (is_local_domain) {
      mInLocalDomain.push_back(address);
    }
  }
  mDomainCount = mRemoteDomains.size() + (has_local_domain ? 1 : 0);
  SortWatchers(aView);
}

void
peer_index::SortWatchers(const cluster_view& aView)
{
  mWatchOrder.clear();
  const node_record* self = aView.FindNode(mName);
  if (self == nullptr) {
    return;
  }
  std::vector<std::pair<std::uint64_t, const node_record*>> scored;
  for (const auto& [name, record] : *mNodes) {
    if (record.IsActive() && record.mFailureDomain == self->mFailureDomain) {
      scored.emplace_back(
        RendezvousScore(self->mFailureDomain, record.mIdentity.name), &record);
    }
  }
  std::sort(scored.begin(), scored.end(), [](const auto& aA, const auto& aB) {
    if (aA.second->mCapacity != aB.second->mCapacity) {
      return aA.second->mCapacity > aB.second->mCapacity;
    }
    return aA.first < aB.first;
  });
  for (const auto& [score, record] : scored) {
    mWatchOrder.push_back(record);
  }
}

const std::vector<std::string>&
peer_index::AcceptingWork(std::string_view aService)
{
  const auto known = mAcceptingWork.find(aService);
  if (known != mAcceptingWork.end()) {
    return known->second;
  }
  std::vector<std::string>& addresses = mAcceptingWork[std::string(aService)];
  for (const auto& [name, record] : *mNodes) {
    if (record.AcceptsWork(aService) && name != mName) {
      addresses.push_back(record.mAddresses.mControl);
    }
  }
  return addresses;
}

bool
peer_index::IsInRemoteDomain(std::string_view aAddress) const
{
  const auto found = mIsInRemoteDomain.find(aAddress);
  return found != mIsInRemoteDomain.end() && found->second;
}

} // namespace plantaindale
