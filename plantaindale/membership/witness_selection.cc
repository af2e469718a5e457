#include "plantaindale/membership/witness_selection.h"

#include <algorithm>
#include <map>

#include "plantaindale/base/hash.h"

namespace plantaindale {
namespace {

struct candidate
{
  const node_record* mRecord;
  bool mIsCurrent;
  bool mIsUnresponsive;
  bool mIsInOtherRegion; // in another region
  std::uint64_t mScore;
};

bool
Contains(const std::vector<node_identity>& aSet, const node_identity& aNode)
{
  return std::find(aSet.begin(), aSet.end(), aNode) != aSet.end();
}

std::vector<candidate>
Candidates(const cluster_view& aView,
           std::string_view aSelf,
           const std::vector<node_identity>& aCurrentWitnesses,
           const std::set<node_identity>& aUnresponsive)
{
  const node_record* self = aView.FindNode(aSelf);
  const std::string region = self == nullptr ? "" : self->mRegion;
  std::vector<candidate> candidates;
  for (const auto& [name, record] : aView.Nodes()) {
    const bool fits = record.IsActive() && !record.mDraining && name != aSelf;
    if (fits) {
      candidates.push_back({ &record,
                             Contains(aCurrentWitnesses, record.mIdentity),
                             aUnresponsive.contains(record.mIdentity),
                             record.mRegion != region,
                             RendezvousScore(aSelf, name) });
    }
  }
  return candidates;
}

} // namespace

std::uint64_t
RendezvousScore(std::string_view aSubject, std::string_view aNode)
{
  return CombineHashes(StableHash(aSubject), StableHash(aNode));
}

std::vector<node_identity>
SelectWitnesses(const cluster_view& aView,
                std::string_view aSelf,
                const std::vector<node_identity>& aCurrentWitnesses,
                const std::set<node_identity>& aUnresponsive)
{
  std::vector<candidate> candidates =
    Candidates(aView, aSelf, aCurrentWitnesses, aUnresponsive);
  if (candidates.size() < kWitnessCount) {
    return {};
  }
  std::vector<node_identity> chosen;
  std::map<std::string, int> per_domain;
  while (chosen.size() < kWitnessCount) {
    // Those that answer first, then the least used domain, then the own
    // region, whose nodes still reach each other when regions are cut apart,
    // then a present witness, then by score.
    const auto best = std::min_element(
      candidates.begin(),
      candidates.end(),
      [&](const auto& aA, const auto& aB) {
        if (aA.mIsUnresponsive != aB.mIsUnresponsive) {
          return aB.mIsUnresponsive;
        }
        const int used_a = per_domain[aA.mRecord->mFailureDomain];
        const int used_b = per_domain[aB.mRecord->mFailureDomain];
        if (used_a != used_b) {
          return used_a < used_b;
        }
        if (aA.mIsInOtherRegion != aB.mIsInOtherRegion) {
          return aB.mIsInOtherRegion;
        }
        if (aA.mIsCurrent != aB.mIsCurrent) {
          return aA.mIsCurrent;
        }
        return aA.mScore < aB.mScore;
      });
    ++per_domain[best->mRecord->mFailureDomain];
    chosen.push_back(best->mRecord->mIdentity);
    candidates.erase(best);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

} // namespace plantaindale
