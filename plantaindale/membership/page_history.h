// page_history records which entries of a shard page its latest revisions
// changed, so that a node with an earlier revision is sent only these entries.
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
    // The page revision to which the changes apply. They apply to any later one
    // too, since a changed entry never returns to an earlier value.
    std::int64_t mBase;
    std::vector<int> mIndices; // ascending
  };

  // Commands.
  // Records the step from `aBefore`, the page previously known or null, to
  // `aAfter`.
  void Add(const shard_page* aBefore, const shard_page& aAfter);

  // Queries.
  // The changes since the page as of that store revision; nullopt if the
  // history doesn't reach back that far or nothing changed.
  std::optional<changes> ChangesAfter(std::int64_t aRevision) const;

private:
  struct step
  {
    std::int64_t mFrom;
    std::int64_t mTo;
    std::vector<int> mIndices;
  };

  std::deque<step> mSteps; // each starts where the one before ends
};

} // namespace plantaindale
