// shard_id identifies one shard of a keyed service. Text keys are mapped to
// shards by hash; numeric keys are mapped by contiguous ranges.
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

// A range of numeric keys, both ends included.
struct key_range
{
  int mFrom = 0;
  int mTo = 0;

  auto operator<=>(const key_range&) const = default;
};

// The keys of the shard `aIndex` if the keys 0 to `aKeyCount` - 1 are divided
// evenly among `aShardCount` shards. `aKeyCount` must be a multiple of
// `aShardCount`.
key_range
RangeOfShard(int aIndex, int aShardCount, int aKeyCount);

// The shard of the text key `aKey` among `aShardCount` (> 0) shards.
int
ShardOfKey(std::string_view aKey, int aShardCount);

// `SERVICE/INDEX`, for example `board/17`.
std::string
ToText(const shard_id& aShard);

} // namespace plantaindale
