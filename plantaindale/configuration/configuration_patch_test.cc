#define BOOST_TEST_MODULE plantaindale
#include <map>

#include "absl/strings/str_cat.h"
#include "plantaindale/configuration/configuration_patch.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

// A store in memory whose next answers can be lost, and which can let somebody
// else write just before a write of ours.
class fake_store : public object_store
{
public:
  absl::StatusOr<object_delta> List() override { return object_delta(); }
  absl::StatusOr<object_delta> Watch(std::int64_t) override
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
    if (!mRivalBody.empty()) {
      mObject.body = std::exchange(mRivalBody, "");
      ++mObject.revision;
    }
    if (aWrite.mBaseRevision != mObject.revision) {
      return absl::AbortedError("conflict");
    }
    ++mObject.revision;
    mObject.body = aWrite.mBody;
    ++mWrites;
    if (mLoseAnswers > 0) {
      --mLoseAnswers;
      return absl::UnknownError("lost");
    }
    return mObject;
  }

  stored_object mObject;
  std::string mRivalBody;
  int mLoseAnswers = 0;
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

BOOST_AUTO_TEST_SUITE(an_operator_submits_a_patch)

BOOST_AUTO_TEST_CASE(on_the_current_version_it_is_accepted_with_the_next_number)
{
  fake_store store;
  const auto accepted = SubmitPatch(store, PatchOn(0, "a"));
  BOOST_REQUIRE(accepted.ok());
  BOOST_TEST(accepted->mNumber == 1);
  BOOST_TEST(accepted->Find("board")->mShards == 8);
}

BOOST_AUTO_TEST_CASE(on_a_stale_version_it_is_refused_with_the_current_number)
{
  fake_store store;
  BOOST_REQUIRE(SubmitPatch(store, PatchOn(0, "a")).ok());
  const auto refused = SubmitPatch(store, PatchOn(0, "b"));
  BOOST_TEST(absl::IsFailedPrecondition(refused.status()));
  BOOST_TEST(std::string(refused.status().message()).find("current is 1") !=
             std::string::npos);
  BOOST_TEST(store.mWrites == 1);
}

BOOST_AUTO_TEST_CASE(when_the_answer_is_lost_it_is_found_accepted_and_not_again)
{
  fake_store store;
  store.mLoseAnswers = 1;
  const auto accepted = SubmitPatch(store, PatchOn(0, "a"));
  BOOST_REQUIRE(accepted.ok());
  BOOST_TEST(accepted->mNumber == 1);
  BOOST_TEST(store.mWrites == 1);
}

BOOST_AUTO_TEST_CASE(when_another_operator_is_first_just_one_wins)
{
  fake_store rival;
  BOOST_REQUIRE(SubmitPatch(rival, PatchOn(0, "theirs")).ok());
  fake_store store;
  store.mRivalBody = rival.mObject.body;
  const auto refused = SubmitPatch(store, PatchOn(0, "mine"));
  BOOST_TEST(absl::IsFailedPrecondition(refused.status()));
  BOOST_TEST(store.mWrites == 0);
  BOOST_TEST(ReadConfiguration(store)->mPatchId == "theirs");
}

BOOST_AUTO_TEST_CASE(that_is_faulty_it_is_refused_whole)
{
  fake_store store;
  const auto refused = SubmitPatch(store, PatchOn(0, "a", -1));
  BOOST_TEST(absl::IsInvalidArgument(refused.status()));
  BOOST_TEST(store.mWrites == 0);
}

BOOST_AUTO_TEST_CASE(that_changes_the_number_of_shards_it_is_refused)
{
  fake_store store;
  BOOST_REQUIRE(SubmitPatch(store, PatchOn(0, "a")).ok());
  BOOST_TEST(
    absl::IsInvalidArgument(SubmitPatch(store, PatchOn(1, "b", 16)).status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
