#include "plantaindale/membership/node_record.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

node_record
ValidRecord()
{
  node_record record;
  record.mIdentity = MakeIdentity("n1", 3);
  record.mRetiredThrough = 2;
  record.mAddresses = {
    "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:65535"
  };
  record.mWitnesses = { MakeIdentity("n2", 1) };
  record.mServer = announced_server{ "board", "10.0.0.1:80", 12 };
  return record;
}

absl::StatusOr<node_record>
Parse(std::string aBody)
{
  stored_object object;
  object.kind = std::string(kNodeKind);
  object.name = "n1";
  object.revision = 7;
  object.body = std::move(aBody);
  return ParseNodeRecord(object);
}

// The stored form of the valid record with one member replaced.
std::string
WithMember(std::string_view aPointer, const json::value& aValue)
{
  json::value record = json::parse(Serialize(ValidRecord()));
  record.at_pointer(aPointer) = aValue;
  return json::serialize(record);
}

BOOST_AUTO_TEST_SUITE(node_record_parsing)

BOOST_AUTO_TEST_CASE(round_trips_a_record)
{
  const auto read = Parse(Serialize(ValidRecord()));
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().message());
  BOOST_CHECK(read->mIdentity == MakeIdentity("n1", 3));
  BOOST_CHECK(read->mServer == ValidRecord().mServer);
  BOOST_CHECK_EQUAL(read->mRevision, 7);
}

BOOST_AUTO_TEST_CASE(rejects_values_that_no_node_writes)
{
  const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
  struct odd_member
  {
    std::string_view mPointer;
    json::value mValue;
  };
  const std::vector<odd_member> odd = {
    { "/identity/name", "n2" },
    { "/identity/incarnation", 0 },
    { "/identity/incarnation", -1 },
    { "/identity/incarnation", largest },
    { "/identity/incarnation", 1e300 },
    { "/identity/incarnation", "3" },
    { "/state", "asleep" },
    { "/retired_through", largest },
    { "/confirmed_lost_through", -1 },
    { "/renewals", largest },
    { "/capacity", -1 },
    { "/capacity", 1e300 },
    { "/addresses/peer", "10.0.0.1:65536" },
    { "/addresses/control", "10.0.0.1:-1" },
    { "/addresses/caller", "10.0.0.1" },
    { "/addresses/admin", "a host:80" },
    { "/addresses", nullptr },
    { "/witnesses", 5 },
    { "/witnesses/0/incarnation", nullptr },
    { "/server/slots", -1 },
    { "/server/slots", std::numeric_limits<int>::max() },
    { "/server/slots", 99999999999 },
    { "/server/connections", -1 },
    { "/server/started_at", largest },
    { "/server/address", "10.0.0.1:99999" },
    { "/server/service", json::array{ json::array{} } },
  };
  for (const odd_member& member : odd) {
    const std::string body = WithMember(member.mPointer, member.mValue);
    BOOST_CHECK_MESSAGE(!Parse(body).ok(),
                        member.mPointer << " " << member.mValue);
  }
  BOOST_CHECK(!Parse("").ok());
  BOOST_CHECK(!Parse(std::string(100'000, '[')).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
