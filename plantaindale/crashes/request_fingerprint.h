// request_fingerprint identifies the content of a request: the same request has
// the same fingerprint at any node and in any attempt. By it, nodes recognize a
// request under which backend servers have ended.
//
//   protocol::request_head head = ...;
//   request_fingerprint id = FingerprintOf(head, caller_service, body);
//   head.fingerprint = ToBytes(id);
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "generated/plantaindale_types.h"

namespace plantaindale {

// A 128-bit hash of the method, target, caller and body.
struct request_fingerprint
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const request_fingerprint&) const = default;
};

// `aCaller` is the service of the caller, `aBody` the body, or empty for one
// that is streamed (`await_ready`): it isn't known before it is forwarded. Then
// requests with different bodies of the same declared length, or different
// chunked bodies, have the same fingerprint if the rest is the same. They never
// have that of a request without a body, since the length counts too.
request_fingerprint
FingerprintOf(const protocol::request_head& aHead,
              std::string_view aCaller,
              std::string_view aBody);

// The form in messages, 16 bytes.
std::string
ToBytes(const request_fingerprint& aFingerprint);

// None unless `aBytes` has 16 bytes.
std::optional<request_fingerprint>
FingerprintFromBytes(std::string_view aBytes);

// The form in logs and commands, 32 hexadecimal digits.
std::string
ToText(const request_fingerprint& aFingerprint);

// None unless `aText` has 32 hexadecimal digits.
std::optional<request_fingerprint>
FingerprintFromText(std::string_view aText);

} // namespace plantaindale
