#include "plantaindale/net/codec.h"

#include <random>

#include "generated/plantaindale_types.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

protocol::control_message
DeltaMessage()
{
  protocol::stored_object object;
  object.kind = "node";
  object.name = "n1";
  object.revision = 3;
  object.body = "{}";
  protocol::object_delta delta;
  delta.from_revision = 2;
  delta.to_revision = 3;
  delta.objects = { object, object };
  protocol::control_message message;
  message.__set_delta(delta);
  return message;
}

BOOST_AUTO_TEST_SUITE(message_decoding)

BOOST_AUTO_TEST_CASE(round_trips_a_message)
{
  const auto message =
    Decode<protocol::control_message>(Encode(DeltaMessage()), "peer");
  BOOST_REQUIRE(message.ok());
  BOOST_CHECK(message->delta == DeltaMessage().delta);
}

// In the compact protocol, 0x1c is field 1 of type struct, and 0x19 a list.
BOOST_AUTO_TEST_CASE(deeply_nested_unknown_fields_are_an_error)
{
  // Field 200 is unknown, so its value is skipped.
  const std::string unknown = { '\x0c', '\x90', '\x03' };
  const std::string structs = unknown + std::string(200'000, '\x1c');
  BOOST_CHECK(!Decode<protocol::control_message>(structs, "peer").ok());
  const std::string list = { '\x09', '\x90', '\x03' };
  const std::string lists = list + std::string(200'000, '\x19');
  BOOST_CHECK(!Decode<protocol::control_message>(lists, "peer").ok());
}

BOOST_AUTO_TEST_CASE(container_that_claims_more_than_follows_is_an_error)
{
  std::string bytes = Encode(DeltaMessage());
  std::mt19937 random(3);
  // Any damage gives an error or a message, and bounded memory.
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = bytes;
    for (int j = 0; j < 3; ++j) {
      damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
    }
    damaged.resize(damaged.size() - random() % 4);
    (void)Decode<protocol::control_message>(damaged, "peer").ok();
    (void)Decode<protocol::traffic_frame>(damaged, "peer").ok();
  }
  BOOST_CHECK(!Decode<protocol::control_message>("", "peer").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
