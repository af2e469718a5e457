#include "plantaindale/evacuation/evacuation_list.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(a_list_of_evacuated_domains)

BOOST_AUTO_TEST_CASE(is_unknown_until_a_list_comes)
{
  evacuation_list known;
  BOOST_CHECK(!known.IsKnown());
  BOOST_CHECK(!known.Take({ 4, {} }));
  BOOST_CHECK(known.IsKnown());
  BOOST_CHECK(!known.Contains(""));
}

BOOST_AUTO_TEST_CASE(holds_evacuations_that_overlap)
{
  evacuation_list known;
  BOOST_CHECK(known.Take({ 4, { "soum-2" } }));
  BOOST_CHECK(known.Take({ 6, { "soum-2", "soum-1" } }));
  BOOST_CHECK(known.Contains("soum-1"));
  BOOST_CHECK(known.Contains("soum-2"));
  BOOST_CHECK(!known.Contains("soum-3"));
  BOOST_CHECK(known.Take({ 8, { "soum-1" } }));
  BOOST_CHECK(!known.Contains("soum-2"));
}

BOOST_AUTO_TEST_CASE(changes_with_an_entry_that_vanishes_and_returns)
{
  evacuation_list known;
  known.Take({ 4, { "soum-1" } });
  BOOST_CHECK(known.Take({ 5, {} }));
  BOOST_TEST_CONTEXT("an older list of another node has no effect")
  {
    BOOST_CHECK(!known.Take({ 4, { "soum-1" } }));
    BOOST_CHECK(!known.Contains("soum-1"));
  }
  BOOST_CHECK(known.Take({ 7, { "soum-1" } }));
  BOOST_CHECK(known.Contains("soum-1"));
}

BOOST_AUTO_TEST_CASE(does_not_change_with_the_revision_alone)
{
  evacuation_list known;
  known.Take({ 4, { "b", "a" } });
  BOOST_CHECK(!known.Take({ 9, { "a", "b", "a" } }));
  BOOST_CHECK_EQUAL(known.Revision(), 9);
}

BOOST_AUTO_TEST_CASE(of_a_restored_store_replaces_the_one_before)
{
  evacuation_list known;
  known.Take({ 1000, { "soum-1" } });
  BOOST_CHECK(known.Take({ MakeRevision(1, 5), {} }));
  BOOST_CHECK(!known.Take({ 1001, { "soum-1" } }));
  BOOST_CHECK(!known.Contains("soum-1"));
}

BOOST_AUTO_TEST_SUITE(as_an_object)

BOOST_AUTO_TEST_CASE(keeps_its_revision_and_domains)
{
  const auto read =
    ParseEvacuationObject(MakeEvacuationObject({ 7, { "soum-1", "x\"y" } }));
  BOOST_REQUIRE(read.ok());
  BOOST_CHECK_EQUAL(read->Revision(), 7);
  BOOST_CHECK_EQUAL(read->Domains().size(), 2u);
  BOOST_CHECK(read->Contains("x\"y"));
}

BOOST_AUTO_TEST_CASE(is_refused_if_another_program_has_written_it)
{
  stored_object object = MakeEvacuationObject({ 7, {} });
  for (const std::string body :
       { "", "[]", "{}", R"({"domains":{}})", R"({"domains":[1]})" }) {
    object.body = body;
    BOOST_CHECK(!ParseEvacuationObject(object).ok());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
