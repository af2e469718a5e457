// Stable hashes: the same on every node and in every version, since shards
// and witnesses are chosen by them.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantaindale {

// xxHash64 of the bytes.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// Mixes two hashes into one.
std::uint64_t
CombineHashes(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace plantaindale
