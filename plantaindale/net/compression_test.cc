#include "plantaindale/net/compression.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(restores_the_bytes)
{
  const std::string repetitive(200'000, 'r');
  BOOST_CHECK(Compress(repetitive).size() < repetitive.size() / 50);
  BOOST_CHECK(*Decompress(Compress(repetitive), kMaxBytes) == repetitive);
  BOOST_CHECK(Decompress(Compress(""), kMaxBytes)->empty());
}

BOOST_AUTO_TEST_CASE(rejects_malformed_and_truncated_input)
{
  const std::string packed = Compress("configuration");
  BOOST_CHECK(absl::IsInvalidArgument(
    Decompress(packed.substr(0, packed.size() - 2), kMaxBytes).status()));
  BOOST_CHECK(
    absl::IsInvalidArgument(Decompress("nonsense", kMaxBytes).status()));
  BOOST_CHECK(absl::IsInvalidArgument(Decompress("", kMaxBytes).status()));
}

BOOST_AUTO_TEST_CASE(bounds_the_output)
{
  const std::string packed = Compress(std::string(kMaxBytes + 1, 'r'));
  BOOST_CHECK(
    absl::IsResourceExhausted(Decompress(packed, kMaxBytes).status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
