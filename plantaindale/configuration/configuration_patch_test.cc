#define BOOST_TEST_MODULE plantaindale
#include <map>

#include "absl/strings/str_cat.h"
#include "plantaindale/configuration/configuration_patch.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

// An in-memory store that can lose responses, and can apply a concurrent write
// just before a write of the test.
class fake_store : public object_store
{
public:
  absl::StatusOr<object_delta> List() override { return object_delta(); }
  absl::StatusOr<object_delta> Watch(std::int64_t) override
  {
    return object_delta();
  }
  absl::StatusOr<object_delta> AwaitConfiguration(duration) override
  {
    return object_delta();
  }
  absl::StatusOr<stored_object> Get(std::string_view, std::string_view) override
  {
    if (mObject.revision == 0) {
      return absl::NotFoundError("none");
    }
    return mObject;
  }
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite) override
  {
    if (!mConcurrentBody.empty()) {
      mObject.body = std::exchange(mConcurrentBody, "");
      ++mObject.revision;
    }
    if (aWrite.mBaseRevision != mObject.revision) {
      return absl::AbortedError("conflict");
    }
    ++mObject.revision;
    mObject.body = aWrite.mBody;
    ++mWrites;
    if (mResponsesToLose > 0) {
      --mResponsesToLose;
      return absl::UnknownError("lost");
    }
    return mObject;
  }

  stored_object mObject;
  std::string mConcurrentBody;
  int mResponsesToLose = 0;
  int mWrites = 0;
};

configuration_patch
PatchOn(std::int64_t aBase, std::string aId, int aShards = 8)
{
  const std::string text =
    absl::StrCat(R"({"services":{"board":{"path_prefix":"/board/","shards":)",
                 aShards,
                 R"(,"key":{"path_segment":1}}}})");
  return { aBase, std::move(aId), boost::json::parse(text) };
}

BOOST_AUTO_TEST_SUITE(submit_patch)

BOOST_AUTO_TEST_CASE(accepts_patch_on_current_version)
{
  fake_store store;
  const auto accepted = SubmitPatch(store, PatchOn(0, "a"));
  BOOST_REQUIRE(accepted.ok());
  BOOST_TEST(accepted->mNumber == 1);
  BOOST_TEST(accepted->Find("board")->mShards == 8);
}

BOOST_AUTO_TEST_CASE(refuses_patch_on_stale_version)
{
  fake_store store;
  BOOST_REQUIRE(SubmitPatch(store, PatchOn(0, "a")).ok());
  const auto refused = SubmitPatch(store, PatchOn(0, "b"));
  BOOST_TEST(absl::IsFailedPrecondition(refused.status()));
  BOOST_TEST(std::string(refused.status().message()).find("current is 1") !=
             std::string::npos);
  BOOST_TEST(store.mWrites == 1);
}

BOOST_AUTO_TEST_CASE(does_not_apply_patch_twice_after_lost_response)
{
  fake_store store;
  store.mResponsesToLose = 1;
  const auto accepted = SubmitPatch(store, PatchOn(0, "a"));
  BOOST_REQUIRE(accepted.ok());
  BOOST_TEST(accepted->mNumber == 1);
  BOOST_TEST(store.mWrites == 1);
}

BOOST_AUTO_TEST_CASE(refuses_patch_when_another_wins_the_race)
{
  fake_store other;
  BOOST_REQUIRE(SubmitPatch(other, PatchOn(0, "theirs")).ok());
  fake_store store;
  store.mConcurrentBody = other.mObject.body;
  const auto refused = SubmitPatch(store, PatchOn(0, "mine"));
  BOOST_TEST(absl::IsFailedPrecondition(refused.status()));
  BOOST_TEST(store.mWrites == 0);
  BOOST_TEST(ReadConfiguration(store)->mPatchId == "theirs");
}

BOOST_AUTO_TEST_CASE(refuses_invalid_patch_without_writing)
{
  fake_store store;
  const auto refused = SubmitPatch(store, PatchOn(0, "a", -1));
  BOOST_TEST(absl::IsInvalidArgument(refused.status()));
  BOOST_TEST(store.mWrites == 0);
}

BOOST_AUTO_TEST_CASE(refuses_change_of_shard_count)
{
  fake_store store;
  BOOST_REQUIRE(SubmitPatch(store, PatchOn(0, "a")).ok());
  BOOST_TEST(
    absl::IsInvalidArgument(SubmitPatch(store, PatchOn(1, "b", 16)).status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
