#include "plantaindale/membership/page_history.h"

#include <algorithm>
#include <set>

namespace plantaindale {
namespace {

// A node that is further behind is sent the whole page. At several changes per
// second, as in a busy service, the history covers some seconds.
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
  for (std::size_t index = 0; index < aAfter.mEntries.size(); ++index) {
    if (aBefore->mEntries[index] != aAfter.mEntries[index]) {
      latest.mIndices.push_back(static_cast<int>(index));
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
  std::set<int> indices;
  for (auto later = first; later != mSteps.end(); ++later) {
    indices.insert(later->mIndices.begin(), later->mIndices.end());
  }
  return changes{ first->mFrom, { indices.begin(), indices.end() } };
}

} // namespace plantaindale
