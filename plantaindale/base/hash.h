// Hash functions whose results are the same on all nodes and in all versions.
// Nodes select shards and witnesses by them, so they must not change.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantaindale {

// Returns the 64-bit xxHash (XXH64) of the bytes.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// Combines two hashes into one; the order of the arguments matters.
std::uint64_t
CombineHashes(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace plantaindale
