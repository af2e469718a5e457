#include "plantaindale/base/hash.h"

#include <xxhash.h>

namespace plantaindale {

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
CombineHashes(std::uint64_t aLeft, std::uint64_t aRight)
{
  return XXH64(&aRight, sizeof(aRight), aLeft);
}

} // namespace plantaindale
