#include "plantaindale/crashes/request_fingerprint.h"

#include <functional>

#include <boost/test/unit_test.hpp>

namespace plantaindale {

// For messages of failed checks.
static std::ostream&
operator<<(std::ostream& aStream, const request_fingerprint& aFingerprint)
{
  return aStream << ToText(aFingerprint);
}

namespace {

protocol::request_head
MakeHead()
{
  protocol::request_head head;
  head.service_name = "stock";
  head.method = "POST";
  head.target = "/items/7?sort=up";
  head.body_bytes = 4;
  return head;
}

request_fingerprint
FingerprintOfChanged(
  const std::function<void(protocol::request_head&)>& aChange)
{
  protocol::request_head head = MakeHead();
  aChange(head);
  return FingerprintOf(head, "web", "body");
}

BOOST_AUTO_TEST_SUITE(fingerprints_of_requests)

BOOST_AUTO_TEST_SUITE(the_same_content)

BOOST_AUTO_TEST_CASE(is_recognized_in_another_attempt)
{
  const request_fingerprint first = FingerprintOf(MakeHead(), "web", "body");
  const request_fingerprint second =
    FingerprintOfChanged([](protocol::request_head& aHead) {
      aHead.request_id = 9;
      aHead.attempt_id = "another";
      aHead.shard = 3;
      aHead.key = "7";
      aHead.deadline_us = 100;
      aHead.target_us = 50;
      aHead.priority = 2;
      aHead.route = "items";
      aHead.await_ready = true;
      aHead.fingerprint = "old";
      aHead.fields.resize(1);
      aHead.fields.back().name = "Idempotency-Key";
      aHead.fields.back().value = "k";
    });
  BOOST_CHECK_EQUAL(first, second);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(other_content)

BOOST_AUTO_TEST_CASE(is_not_taken_for_the_same)
{
  const request_fingerprint original = FingerprintOf(MakeHead(), "web", "body");
  using head = protocol::request_head;
  const std::function<void(head&)> changes[] = {
    [](head& aHead) { aHead.service_name = "stocks"; },
    [](head& aHead) { aHead.method = "PUT"; },
    [](head& aHead) { aHead.target = "/items/8?sort=up"; },
    [](head& aHead) { aHead.target = "/items/7?sort=down"; },
    [](head& aHead) { aHead.body_bytes = 5; },
    [](head& aHead) { aHead.body_bytes = -1; },
  };
  for (const auto& change : changes) {
    BOOST_CHECK_NE(FingerprintOfChanged(change), original);
  }
  BOOST_CHECK_NE(FingerprintOf(MakeHead(), "app", "body"), original);
  BOOST_CHECK_NE(FingerprintOf(MakeHead(), "web", "bodY"), original);
  BOOST_CHECK_NE(FingerprintOf(MakeHead(), "web", ""), original);
}

BOOST_AUTO_TEST_CASE(cannot_move_from_one_part_into_the_next)
{
  const auto of = [](std::string_view aMethod,
                     std::string_view aTarget,
                     std::string_view aCaller,
                     std::string_view aBody) {
    protocol::request_head head = MakeHead();
    head.method = aMethod;
    head.target = aTarget;
    return FingerprintOf(head, aCaller, aBody);
  };
  const request_fingerprint original = of("GET", "/a", "web", "body");
  BOOST_CHECK_NE(of("GET/", "a", "web", "body"), original);
  BOOST_CHECK_NE(of("GET", "/aw", "eb", "body"), original);
  BOOST_CHECK_NE(of("GET", "/a", "webb", "ody"), original);
  BOOST_CHECK_NE(of("GET", "/", "aweb", "body"), original);
}

BOOST_AUTO_TEST_CASE(without_known_body_is_not_taken_for_one_without_body)
{
  protocol::request_head empty = MakeHead();
  empty.body_bytes = 0;
  protocol::request_head large = MakeHead();
  large.body_bytes = 100'000;
  protocol::request_head chunked = MakeHead();
  chunked.body_bytes = -1;
  BOOST_CHECK_NE(FingerprintOf(large, "web", ""),
                 FingerprintOf(empty, "web", ""));
  BOOST_CHECK_NE(FingerprintOf(chunked, "web", ""),
                 FingerprintOf(empty, "web", ""));
  BOOST_CHECK_NE(FingerprintOf(chunked, "web", ""),
                 FingerprintOf(large, "web", ""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(forms)

BOOST_AUTO_TEST_CASE(are_read_as_they_were_written)
{
  const request_fingerprint values[] = {
    FingerprintOf(MakeHead(), "web", "body"),
    { 0, 0 },
    { 1, 0xffff'ffff'ffff'ffff },
    { 0x0123'4567'89ab'cdef, 0xfedc'ba98'7654'3210 },
  };
  for (const request_fingerprint& value : values) {
    BOOST_CHECK_EQUAL(ToBytes(value).size(), 16u);
    BOOST_CHECK(FingerprintFromBytes(ToBytes(value)) == value);
    BOOST_CHECK_EQUAL(ToText(value).size(), 32u);
    BOOST_CHECK(FingerprintFromText(ToText(value)) == value);
  }
  BOOST_CHECK_EQUAL(ToText({ 1, 0xab }), "000000000000000100000000000000ab");
}

BOOST_AUTO_TEST_CASE(of_another_kind_are_not_read)
{
  for (const std::size_t size : { 0, 1, 15, 17, 32 }) {
    BOOST_CHECK(!FingerprintFromBytes(std::string(size, 'x')));
  }
  const std::string good = ToText({ 1, 2 });
  std::string sign = good;
  sign[0] = '-';
  std::string blank = good;
  blank[16] = ' ';
  std::string prefix = good;
  prefix[1] = 'x';
  std::string zero = good;
  zero[31] = '\0';
  for (const std::string& text : { std::string(),
                                   good.substr(1),
                                   good + "0",
                                   sign,
                                   blank,
                                   prefix,
                                   zero,
                                   std::string(32, 'g') }) {
    BOOST_CHECK(!FingerprintFromText(text));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
