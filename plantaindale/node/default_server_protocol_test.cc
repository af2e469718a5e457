#include "plantaindale/node/default_server_protocol.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

absl::StatusOr<server_notice>
Announce(const std::string& aMembers)
{
  const http_server_request request{
    "POST",
    "/announce",
    R"({"service":"board","address":"127.0.0.1:1","slots":1,"connections":1)" +
      aMembers + "}"
  };
  return default_server_protocol().ParseNotice(request);
}

BOOST_AUTO_TEST_SUITE(default_server_protocol_test)

BOOST_AUTO_TEST_CASE(two_starts_at_one_address_are_told_apart)
{
  const auto former = Announce(R"(,"instance":"a","started_at":1)");
  const auto next = Announce(R"(,"instance":"a","started_at":2)");
  BOOST_REQUIRE(former.ok() && next.ok());
  BOOST_CHECK(!former->mServer.IsSameStart(next->mServer));
}

BOOST_AUTO_TEST_CASE(announcement_without_a_start_is_still_accepted)
{
  BOOST_CHECK(Announce("").ok());
}

BOOST_AUTO_TEST_CASE(start_out_of_range_is_refused)
{
  BOOST_CHECK(!Announce(R"(,"started_at":-1)").ok());
  BOOST_CHECK(!Announce(R"(,"started_at":9007199254740993)").ok());
}

BOOST_AUTO_TEST_CASE(reads_how_long_a_server_stays_cold)
{
  const auto cold = Announce(R"(,"cold_ms":1500)");
  BOOST_REQUIRE(cold.ok());
  BOOST_CHECK(cold->mColdFor == std::chrono::milliseconds(1500));
  BOOST_CHECK(!Announce("")->mColdFor);
  BOOST_CHECK(!Announce(R"(,"cold_ms":-1)").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
