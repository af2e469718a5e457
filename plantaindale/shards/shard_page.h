// shard_page is one page of the shard map: the owners of a run of shards of
// one service. A page is one object of the platform, changed by conditional
// update; its size keeps a change cheap to spread.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "plantaindale/base/node_identity.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Shards on one page: so many that the map of a large service has few pages,
// and so few that nodes which move shards at once seldom write the same page.
inline constexpr int kShardsPerPage = 256;

// Epochs of different pages don't compare: what is granted or released under
// one token never reaches over this.
inline bool
IsFirstShardOfPage(int aShard)
{
  return aShard % kShardsPerPage == 0;
}

struct shard_entry
{
  node_identity mOwner;    // empty name: none yet
  std::int64_t mEpoch = 0; // rises with each change of owner
  // What the last owner's backend server gave for the next one, so that it
  // needn't start cold; empty: nothing.
  std::string mHandover = {};

  bool HasOwner() const { return !mOwner.name.empty(); }
  bool operator==(const shard_entry&) const = default;
};

struct shard_page
{
  std::string mService;
  int mPage = 0;
  std::vector<shard_entry> mEntries;
  // The store's revision of this page; 0 when it isn't stored yet.
  std::int64_t mRevision = 0;

  int FirstShard() const { return mPage * kShardsPerPage; }
  // Above every epoch on the page, so that one fencing token can cover shards
  // whose owners changed at different times.
  std::int64_t NextEpoch() const;
};

// A page without owners for the given part of `aShardCount` shards.
shard_page
MakeEmptyPage(std::string aService, int aPage, int aShardCount);

// Pages that hold `aShardCount` shards.
int
PageCount(int aShardCount);

// The name of the page's object: `board.3`.
std::string
PageName(std::string_view aService, int aPage);

absl::StatusOr<shard_page>
ParseShardPage(const stored_object& aObject);

std::string
Serialize(const shard_page& aPage);

// The body of a patch: the entries at `aPlaces`, which rise.
std::string
SerializeChanges(const shard_page& aPage, std::span<const int> aIndices);

// The page with the entries of a patch of it in place, as of its revision.
absl::StatusOr<shard_page>
ApplyChanges(const shard_page& aPage, const stored_object& aPatch);

} // namespace plantaindale
