// shard_page is one page of the shard map: the owners of up to kShardsPerPage
// consecutive shards of one service. Each page is one object in the platform's
// store and is changed by conditional updates. The page size bounds the cost of
// distributing a change.
//
//   auto page = ParseShardPage(object);
//   if (page.ok()) { page->mEntries[0] = { owner, page->NextEpoch() }; }
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "plantaindale/base/node_identity.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Large enough that the map of a large service has few pages, and small enough
// that nodes that move shards concurrently rarely write the same page.
inline constexpr int kShardsPerPage = 256;

// Epochs of different pages aren't comparable, so a grant or release under one
// fencing token never extends beyond a page.
inline bool
IsFirstShardOfPage(int aShard)
{
  return aShard % kShardsPerPage == 0;
}

struct shard_entry
{
  node_identity mOwner;    // empty name: no owner yet
  std::int64_t mEpoch = 0; // increases with each change of owner
  // Data from the last owner's backend server with which the next one warms up;
  // empty: none.
  std::string mHandover = {};

  bool HasOwner() const { return !mOwner.name.empty(); }
  bool operator==(const shard_entry&) const = default;
};

struct shard_page
{
  std::string mService;
  int mPage = 0;
  std::vector<shard_entry> mEntries;
  // The store's revision of this page; 0 if it isn't stored yet.
  std::int64_t mRevision = 0;

  int FirstShard() const { return mPage * kShardsPerPage; }
  // One more than the highest epoch on the page, so that one fencing token can
  // cover shards whose owners changed at different times; at least `aFirst`.
  std::int64_t NextEpoch(std::int64_t aFirst = 1) const;
};

// Page number `aPage` of a service with `aShardCount` shards, without owners.
shard_page
MakeEmptyPage(std::string aService, int aPage, int aShardCount);

// Number of pages for `aShardCount` shards.
int
PageCount(int aShardCount);

// The name of the page's object, for example `board.3`.
std::string
PageName(std::string_view aService, int aPage);

// Fails with kInvalidArgument if the object is malformed.
absl::StatusOr<shard_page>
ParseShardPage(const stored_object& aObject);

// The stored form of the page, JSON.
std::string
Serialize(const shard_page& aPage);

// The body of a patch with the entries at `aIndices`, in ascending order.
std::string
SerializeChanges(const shard_page& aPage, std::span<const int> aIndices);

// Returns the page with the entries and the revision of the patch. Fails with
// kInvalidArgument if the patch is malformed or has entries beyond the page.
absl::StatusOr<shard_page>
ApplyChanges(const shard_page& aPage, const stored_object& aPatch);

} // namespace plantaindale
