#include "plantaindale/net/compression.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include <zlib.h>

namespace plantaindale {
namespace {

constexpr std::size_t kOutputStep = 64 * 1024; // bytes

} // namespace

std::string
Compress(std::string_view aBytes)
{
  uLongf size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()),
            &size,
            reinterpret_cast<const Bytef*>(aBytes.data()),
            static_cast<uLong>(aBytes.size()),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

absl::StatusOr<std::string>
Decompress(std::string_view aPacked, std::size_t aMaxBytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return MakeError(absl::StatusCode::kInternal,
                     "decompress",
                     "",
                     "the decompressor can't be initialized");
  }
  // zlib does not write through next_in.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(aPacked.data()));
  stream.avail_in = static_cast<uInt>(aPacked.size());
  std::string bytes;
  int result = Z_OK;
  while (result == Z_OK && bytes.size() <= aMaxBytes) {
    const std::size_t done = bytes.size();
    bytes.resize(done + kOutputStep);
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + done);
    stream.avail_out = static_cast<uInt>(kOutputStep);
    result = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(done + kOutputStep - stream.avail_out);
  }
  inflateEnd(&stream);
  if (bytes.size() > aMaxBytes) {
    return MakeError(absl::StatusCode::kResourceExhausted,
                     "decompress",
                     "",
                     absl::StrCat("more than ", aMaxBytes, " bytes"));
  }
  if (result != Z_STREAM_END) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "decompress",
                     "",
                     "the input is malformed or truncated");
  }
  return bytes;
}

} // namespace plantaindale
