// Compress and Decompress convert bytes to the zlib format (RFC 1950) and back.
//
//   std::string packed = Compress(bytes);
//   auto bytes = Decompress(packed, kMaxBytes);
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace plantaindale {

std::string
Compress(std::string_view aBytes);

// kInvalidArgument: the input is malformed or truncated. kResourceExhausted:
// the output would exceed `aMaxBytes`.
absl::StatusOr<std::string>
Decompress(std::string_view aPacked, std::size_t aMaxBytes);

} // namespace plantaindale
