#include "plantaindale/shards/shard_page.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

BOOST_AUTO_TEST_SUITE(shard_page_encoding)

BOOST_AUTO_TEST_CASE(round_trips_entries)
{
  shard_page page = MakeEmptyPage("board", 0, 8);
  page.mEntries[1] = { MakeIdentity("n1", 3), 7, "" };
  page.mEntries[2] = { MakeIdentity("n1", 3), 7, "" };
  page.mEntries[3] = { MakeIdentity("n1", 3), 7, "warm" };
  page.mEntries[7] = { MakeIdentity("n2", 1), 9, "" };
  stored_object object;
  object.name = PageName("board", 0);
  object.body = Serialize(page);
  object.revision = 12;
  const auto read = ParseShardPage(object);
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().message());
  BOOST_CHECK(read->mEntries == page.mEntries);
  BOOST_CHECK_EQUAL(read->mRevision, 12);
}

BOOST_AUTO_TEST_CASE(next_epoch_is_above_every_epoch)
{
  shard_page page = MakeEmptyPage("board", 0, 8);
  BOOST_CHECK_EQUAL(page.NextEpoch(), 1);
  page.mEntries[3].mEpoch = 9;
  BOOST_CHECK_EQUAL(page.NextEpoch(), 10);
}

BOOST_AUTO_TEST_CASE(rejects_invalid_owners_and_run_lengths)
{
  stored_object object;
  object.name = PageName("b", 0);
  object.body = R"({"service":"b","page":0,"owners":[],"runs":[[0,1,4]]})";
  BOOST_CHECK(!ParseShardPage(object).ok());
  object.body = R"({"service":"b","page":0,"owners":[["n",1]],)"
                R"("runs":[[0,1,100000]]})";
  BOOST_CHECK(!ParseShardPage(object).ok());
}

BOOST_AUTO_TEST_CASE(rejects_numbers_out_of_range_and_other_names)
{
  stored_object object;
  object.name = PageName("b", 0);
  object.body = R"({"service":"b","page":0,"owners":[["n",1]],)"
                R"("runs":[[0,1,4]]})";
  BOOST_CHECK(ParseShardPage(object).ok());
  object.name = PageName("b", 1);
  BOOST_CHECK(!ParseShardPage(object).ok());
  object.name = PageName("b", 0);
  for (const char* body : {
         R"({"service":"b","page":0,"owners":[["n",-1]],"runs":[[0,1,4]]})",
         R"({"service":"b","page":0,"owners":[["n",1]],"runs":[[0,-1,4]]})",
         R"({"service":"b","page":0,"owners":[["n",1]],)"
         R"("runs":[[0,9223372036854775807,4]]})",
         R"({"service":"b","page":0,"owners":[["n",1]],"runs":[[0,1,-4]]})",
         R"({"service":"b","page":0,"owners":[["n",1]],"runs":[[-1,1,4]]})",
         R"({"service":"b","page":0,"owners":[["n",1e400]],"runs":[]})",
         R"({"service":"b","page":99999999999,"owners":[],"runs":[]})",
       }) {
    object.body = body;
    BOOST_CHECK_MESSAGE(!ParseShardPage(object).ok(), body);
  }
}

BOOST_AUTO_TEST_SUITE(shard_page_patch)

BOOST_AUTO_TEST_CASE(contains_only_changed_entries)
{
  shard_page page = MakeEmptyPage("board", 0, 256);
  page.mRevision = 4;
  shard_page changed = page;
  changed.mEntries[9] = { MakeIdentity("n1", 3), 7, "warm" };
  changed.mEntries[10] = { MakeIdentity("n1", 3), 7, "warm" };
  changed.mEntries[255] = { MakeIdentity("n2", 1), 8, "" };
  stored_object patch;
  patch.revision = 6;
  patch.body = SerializeChanges(changed, std::vector<int>{ 9, 10, 255 });
  BOOST_CHECK_LT(patch.body.size(), 100u);
  const auto patched = ApplyChanges(page, patch);
  BOOST_REQUIRE_MESSAGE(patched.ok(), patched.status().message());
  BOOST_CHECK(patched->mEntries == changed.mEntries);
  BOOST_CHECK_EQUAL(patched->mRevision, 6);
}

BOOST_AUTO_TEST_CASE(is_rejected_for_entries_beyond_the_page)
{
  const shard_page page = MakeEmptyPage("board", 0, 8);
  stored_object patch;
  patch.body = R"({"places":[7],"owners":[["n",1]],"runs":[[0,1,2]]})";
  BOOST_CHECK(!ApplyChanges(page, patch).ok());
  patch.body = R"({"places":[],"owners":[["n",1]],"runs":[[0,1,2]]})";
  BOOST_CHECK(!ApplyChanges(page, patch).ok());
  // The sum of this index and the length overflows.
  patch.body = R"({"places":[18446744073709551615],"owners":[["n",1]],)"
               R"("runs":[[0,1,1]]})";
  BOOST_CHECK(!ApplyChanges(page, patch).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
