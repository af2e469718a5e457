// shard_id names one shard of a keyed service; keys fall into shards by hash.
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

// The shard of `aKey` among `aShardCount` (> 0).
int
ShardOfKey(std::string_view aKey, int aShardCount);

// `board/17`.
std::string
ToText(const shard_id& aShard);

} // namespace plantaindale
