// shard_id names one shard of a keyed service. Keys that are text fall into
// shards by hash; for keys that are numbers a shard is a range of them.
#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace plantaindale {

struct shard_id
{
  std::string mService;
  int mIndex = 0;

  auto operator<=>(const shard_id&) const = default;
};

// Numeric keys, both ends included.
struct key_range
{
  int mFrom = 0;
  int mTo = 0;

  auto operator<=>(const key_range&) const = default;
};

// The keys of a shard when `aNumbers` keys are divided evenly among
// `aShardCount` shards.
key_range
RangeOfShard(int aIndex, int aShardCount, int aKeyCount);

// The shard of `aKey` among `aShardCount` (> 0).
int
ShardOfKey(std::string_view aKey, int aShardCount);

// `board/17`.
std::string
ToText(const shard_id& aShard);

} // namespace plantaindale
