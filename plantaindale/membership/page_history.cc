#include "plantaindale/membership/page_history.h"

#include <algorithm>
#include <set>

namespace plantaindale {
namespace {

// A node that is further behind gets the whole page. At the several changes a
// second of a busy service these are some seconds.
constexpr std::size_t kMaxSteps = 64;

} // namespace

void
page_history::Add(const shard_page* aBefore, const shard_page& aAfter)
{
  if (aBefore == nullptr ||
      aBefore->mEntries.size() != aAfter.mEntries.size()) {
    mSteps.clear();
    return;
  }
  step latest{ aBefore->mRevision, aAfter.mRevision, {} };
  for (std::size_t place = 0; place < aAfter.mEntries.size(); ++place) {
    if (aBefore->mEntries[place] != aAfter.mEntries[place]) {
      latest.mIndices.push_back(static_cast<int>(place));
    }
  }
  mSteps.push_back(std::move(latest));
  if (mSteps.size() > kMaxSteps) {
    mSteps.pop_front();
  }
}

std::optional<page_history::changes>
page_history::ChangesAfter(std::int64_t aRevision) const
{
  const auto first =
    std::find_if(mSteps.begin(), mSteps.end(), [&](const step& aStep) {
      return aStep.mTo > aRevision;
    });
  if (first == mSteps.end() || first->mFrom > aRevision) {
    return std::nullopt;
  }
  std::set<int> places;
  for (auto later = first; later != mSteps.end(); ++later) {
    places.insert(later->mIndices.begin(), later->mIndices.end());
  }
  return changes{ first->mFrom, { places.begin(), places.end() } };
}

} // namespace plantaindale
