// page_history remembers which entries of a shard page its latest revisions
// have changed, so that a node which knows an earlier one is sent just these.
//
//   history.Add(before, after);
//   if (auto changes = history.ChangesAfter(revision)) { ... }
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "plantaindale/shards/shard_page.h"

namespace plantaindale {

// Not thread-safe.
class page_history
{
public:
  struct changes
  {
    // The revision of the page that they lead on from; any later one will do
    // too, since an entry that changes never takes an earlier value again.
    std::int64_t mBase;
    std::vector<int> mIndices; // rising
  };

  // Commands. `aBefore`: what was known before `aAfter`, or null.
  void Add(const shard_page* aBefore, const shard_page& aAfter);

  // Queries. What changed since the page as it was at that revision of the
  // store; none when it isn't remembered any more.
  std::optional<changes> ChangesAfter(std::int64_t aRevision) const;

private:
  struct step
  {
    std::int64_t mFrom;
    std::int64_t mTo;
    std::vector<int> mIndices;
  };

  std::deque<step> mSteps; // each leads on from the one before
};

} // namespace plantaindale
