#include "plantaindale/crashes/request_fingerprint.h"

#include <charconv>

#include "absl/strings/str_cat.h"
#include <xxhash.h>

namespace plantaindale {
namespace {

constexpr std::size_t kHalfBytes = 8;
constexpr std::size_t kHalfDigits = 16;

std::string
HalfToBytes(std::uint64_t aHalf)
{
  std::string bytes(kHalfBytes, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aHalf & 0xff);
    aHalf >>= 8;
  }
  return bytes;
}

std::uint64_t
HalfFromBytes(std::string_view aBytes)
{
  std::uint64_t half = 0;
  for (std::size_t place = 0; place < kHalfBytes; ++place) {
    half |=
      static_cast<std::uint64_t>(static_cast<unsigned char>(aBytes[place]))
      << (8 * place);
  }
  return half;
}

std::optional<std::uint64_t>
HalfFromText(std::string_view aText)
{
  std::uint64_t half = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, half, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return half;
}

} // namespace

request_fingerprint
FingerprintOf(const protocol::request_head& aHead,
              std::string_view aCaller,
              std::string_view aBody)
{
  // Lengths keep the parts apart, so that none can continue in the next.
  const std::string prefix =
    absl::StrCat(aHead.service_name.size(),
                 " ",
                 aHead.method.size(),
                 " ",
                 aHead.target.size(),
                 " ",
                 aCaller.size(),
                 " ",
                 aHead.body_bytes,
                 "\n",
                 aHead.service_name,
                 aHead.method,
                 aHead.target,
                 absl::string_view(aCaller.data(), aCaller.size()));
  const XXH128_hash_t head = XXH3_128bits(prefix.data(), prefix.size());
  const XXH128_hash_t whole =
    XXH3_128bits_withSeed(aBody.data(), aBody.size(), head.low64);
  return { head.high64 ^ whole.high64, whole.low64 };
}

std::string
ToBytes(const request_fingerprint& aFingerprint)
{
  return HalfToBytes(aFingerprint.mHigh) + HalfToBytes(aFingerprint.mLow);
}

std::optional<request_fingerprint>
FingerprintFromBytes(std::string_view aBytes)
{
  if (aBytes.size() != 2 * kHalfBytes) {
    return std::nullopt;
  }
  return request_fingerprint{ HalfFromBytes(aBytes.substr(0, kHalfBytes)),
                              HalfFromBytes(aBytes.substr(kHalfBytes)) };
}

std::string
ToText(const request_fingerprint& aFingerprint)
{
  return absl::StrCat(absl::Hex(aFingerprint.mHigh, absl::kZeroPad16),
                      absl::Hex(aFingerprint.mLow, absl::kZeroPad16));
}

std::optional<request_fingerprint>
FingerprintFromText(std::string_view aText)
{
  if (aText.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  const auto high = HalfFromText(aText.substr(0, kHalfDigits));
  const auto low = HalfFromText(aText.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return request_fingerprint{ *high, *low };
}

} // namespace plantaindale
