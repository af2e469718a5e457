#include "plantaindale/net/codec.h"

#include "generated/plantaindale_types.h"
#include "plantaindale/base/error.h"
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace plantaindale {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Limits on the memory that one message of a peer can make this process
// allocate.
constexpr std::int32_t kMaxStringBytes = 16 * 1024 * 1024; // bytes
constexpr std::int32_t kMaxContainerElements = 1'000'000;

} // namespace

template<class message_type>
std::string
Encode(const message_type& aMessage)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> writer(buffer);
  aMessage.write(&writer);
  return buffer->getBufferAsString();
}

template<class message_type>
absl::StatusOr<message_type>
Decode(std::string_view aBytes, std::string_view aPeer)
{
  // TMemoryBuffer takes a non-const pointer, but does not write through it with
  // OBSERVE.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
    bytes, static_cast<std::uint32_t>(aBytes.size()), TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> reader(
    buffer, kMaxStringBytes, kMaxContainerElements);
  message_type message;
  try {
    message.read(&reader);
  } catch (const std::exception& error) {
    return MakeError(
      absl::StatusCode::kInvalidArgument, "decode", aPeer, error.what());
  }
  return message;
}

template std::string
Encode(const protocol::control_message&);
template std::string
Encode(const protocol::traffic_frame&);
template std::string
Encode(const protocol::stored_object&);
template absl::StatusOr<protocol::stored_object> Decode(std::string_view,
                                                        std::string_view);
template absl::StatusOr<protocol::control_message> Decode(std::string_view,
                                                          std::string_view);
template absl::StatusOr<protocol::traffic_frame> Decode(std::string_view,
                                                        std::string_view);

} // namespace plantaindale
