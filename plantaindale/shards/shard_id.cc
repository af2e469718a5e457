#include "plantaindale/shards/shard_id.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/hash.h"

namespace plantaindale {

int
ShardOfKey(std::string_view aKey, int aShardCount)
{
  return static_cast<int>(StableHash(aKey) %
                          static_cast<std::uint64_t>(aShardCount));
}

key_range
RangeOfShard(int aIndex, int aShardCount, int aKeyCount)
{
  const int width = aKeyCount / aShardCount;
  return { aIndex * width, (aIndex + 1) * width - 1 };
}

std::string
ToText(const shard_id& aShard)
{
  return absl::StrCat(aShard.mService, "/", aShard.mIndex);
}

} // namespace plantaindale
