// Encode and Decode convert the generated message types to bytes and back with
// Thrift's compact protocol.
//
//   std::string bytes = Encode(message);
//   auto message = Decode<protocol::control_message>(bytes, sender);
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace plantaindale {

// `message_type` is one of protocol::control_message, protocol::traffic_frame
// and protocol::stored_object.
template<class message_type>
std::string
Encode(const message_type& aMessage);

// Returns kInvalidArgument if the bytes are truncated, too large or malformed.
// The error names `aPeer`.
template<class message_type>
absl::StatusOr<message_type>
Decode(std::string_view aBytes, std::string_view aPeer);

} // namespace plantaindale
