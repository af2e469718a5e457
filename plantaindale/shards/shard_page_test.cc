#include "plantaindale/shards/shard_page.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(a_page_of_the_shard_map)

BOOST_AUTO_TEST_CASE(is_stored_as_runs_and_read_back_whole)
{
  shard_page page = MakeEmptyPage("board", 0, 8);
  page.mEntries[1] = { MakeIdentity("n1", 3), 7, "" };
  page.mEntries[2] = { MakeIdentity("n1", 3), 7, "" };
  page.mEntries[3] = { MakeIdentity("n1", 3), 7, "warm" };
  page.mEntries[7] = { MakeIdentity("n2", 1), 9, "" };
  stored_object object;
  object.body = Serialize(page);
  object.revision = 12;
  const auto read = ParseShardPage(object);
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().message());
  BOOST_CHECK(read->mEntries == page.mEntries);
  BOOST_CHECK_EQUAL(read->mRevision, 12);
}

BOOST_AUTO_TEST_CASE(gives_the_next_owner_an_epoch_above_all_of_it)
{
  shard_page page = MakeEmptyPage("board", 0, 8);
  BOOST_CHECK_EQUAL(page.NextEpoch(), 1);
  page.mEntries[3].mEpoch = 9;
  BOOST_CHECK_EQUAL(page.NextEpoch(), 10);
}

BOOST_AUTO_TEST_CASE(is_refused_when_it_names_owners_that_arent_there)
{
  stored_object object;
  object.body = R"({"service":"b","page":0,"owners":[],"runs":[[0,1,4]]})";
  BOOST_CHECK(!ParseShardPage(object).ok());
  object.body = R"({"service":"b","page":0,"owners":[["n",1]],)"
                R"("runs":[[0,1,100000]]})";
  BOOST_CHECK(!ParseShardPage(object).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
