#include "plantaindale/base/json_split.h"

#include <random>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// A random value of random layout.
std::string
RandomValue(std::mt19937& aRandom, int aDepth)
{
  const auto pick = [&](int aBound) {
    return std::uniform_int_distribution<int>(0, aBound - 1)(aRandom);
  };
  static constexpr const char* kScalars[] = {
    "0",      "-1.5e3",    "true",    "null",        R"("")",
    R"(",")", R"("\"]}")", R"("\\")", R"("\u0041")", R"("{[:")"
  };
  const std::string space = pick(3) == 0 ? " \n\t" : "";
  const int kind = aDepth == 0 ? 0 : pick(3);
  if (kind == 0) {
    return space + kScalars[pick(static_cast<int>(std::size(kScalars)))] +
           space;
  }
  std::string text = space + (kind == 1 ? "[" : "{") + space;
  const int count = pick(4);
  for (int i = 0; i < count; ++i) {
    text += i > 0 ? "," : "";
    text += kind == 1 ? "" : "\"k" + std::to_string(i) + "\"" + space + ":";
    text += RandomValue(aRandom, aDepth - 1);
  }
  return text + space + (kind == 1 ? "]" : "}") + space;
}

BOOST_AUTO_TEST_SUITE(json_splitting)

BOOST_AUTO_TEST_CASE(returns_the_texts_of_members_and_elements)
{
  const auto members =
    SplitObject(R"( {"a" : [1, {"b":"]}"}] , "c":"x,\"y" , "a":-2e5 } )");
  BOOST_REQUIRE(members.ok());
  BOOST_REQUIRE_EQUAL(members->size(), 3);
  BOOST_CHECK_EQUAL(members->at(0).mValue, R"([1, {"b":"]}"}])");
  BOOST_CHECK_EQUAL(FindMember(*members, "c"), R"("x,\"y")");
  BOOST_CHECK_EQUAL(FindMember(*members, "a"), "-2e5");
  BOOST_CHECK_EQUAL(FindMember(*members, "d"), "");
  const auto elements = SplitArray(members->at(0).mValue);
  BOOST_REQUIRE(elements.ok());
  BOOST_REQUIRE_EQUAL(elements->size(), 2);
  BOOST_CHECK_EQUAL(elements->at(1), R"({"b":"]}"})");
  BOOST_CHECK(SplitObject("{}")->empty());
  BOOST_CHECK(SplitArray(" [ ] ")->empty());
}

BOOST_AUTO_TEST_CASE(malformed_structure_is_an_error)
{
  for (const char* text : { "",
                            "{",
                            "[",
                            "[1",
                            "[1,",
                            "[1,]",
                            "[1 2]",
                            "[\"a]",
                            "[\"a\\",
                            "[1]x",
                            "{\"a\"}",
                            "{\"a\":}",
                            "{\"a\":1,}",
                            "{a:1}",
                            "{\"a\":1}]",
                            "1",
                            "{\"a\":[1}" }) {
    BOOST_CHECK_MESSAGE(!SplitObject(text).ok(), text);
    BOOST_CHECK_MESSAGE(!SplitArray(text).ok(), text);
  }
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_skipped_like_any_value)
{
  const std::string deep(500'000, '[');
  const std::string closed = deep + std::string(deep.size(), ']');
  const std::string text = "[1," + closed + ",2]";
  const auto elements = SplitArray(text);
  BOOST_REQUIRE(elements.ok());
  BOOST_REQUIRE_EQUAL(elements->size(), 3);
  BOOST_CHECK_EQUAL(elements->at(2), "2");
  BOOST_CHECK(!SplitArray(deep).ok());
}

BOOST_AUTO_TEST_CASE(agrees_with_the_parser_on_random_documents)
{
  std::mt19937 random(1);
  for (int i = 0; i < 2000; ++i) {
    const std::string text = RandomValue(random, 4);
    const json::value value = json::parse(text);
    const auto elements = SplitArray(text);
    const auto members = SplitObject(text);
    BOOST_REQUIRE_EQUAL(elements.ok(), value.is_array());
    BOOST_REQUIRE_EQUAL(members.ok(), value.is_object());
    for (std::size_t j = 0; elements.ok() && j < elements->size(); ++j) {
      BOOST_REQUIRE(json::parse(elements->at(j)) == value.at(j));
    }
    for (std::size_t j = 0; members.ok() && j < members->size(); ++j) {
      BOOST_REQUIRE(json::parse(members->at(j).mValue) ==
                    value.at(members->at(j).mName));
    }
  }
}

BOOST_AUTO_TEST_CASE(no_damaged_text_is_read_beyond_its_end)
{
  std::mt19937 random(2);
  for (int i = 0; i < 5000; ++i) {
    std::string text = RandomValue(random, 3);
    const std::size_t place =
      std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random);
    text[place] = static_cast<char>(random() % 256);
    text.resize(text.size() - std::min(text.size() - 1, random() % 3));
    // Copies of the exact size, so that a sanitizer sees reads beyond the end.
    const std::vector<char> exact(text.begin(), text.end());
    const std::string_view view(exact.data(), exact.size());
    for (const std::string_view part :
         SplitArray(view).value_or(std::vector<std::string_view>())) {
      BOOST_REQUIRE(part.data() >= view.data() &&
                    part.data() + part.size() <= view.data() + view.size());
    }
    (void)SplitObject(view).ok();
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
