#include "plantaindale/membership/cluster_view.h"

#include <map>

#include "absl/strings/str_cat.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kNow{ std::chrono::seconds(100) };

stored_object
Configuration(std::int64_t aNumber, std::int64_t aRevision)
{
  cluster_configuration configuration;
  configuration.mNumber = aNumber;
  configuration.mDocument = absl::StrCat(
    R"({"services":{"rolls":{"path_prefix":"/v)", aNumber, "\"}}}");
  stored_object object;
  object.kind = std::string(kConfigurationKind);
  object.name = std::string(kConfigurationName);
  object.revision = aRevision;
  object.body = Serialize(configuration);
  return object;
}

object_delta
Delta(std::int64_t aFrom, std::int64_t aTo, std::vector<stored_object> aObjects)
{
  object_delta delta;
  delta.from_revision = aFrom;
  delta.to_revision = aTo;
  delta.objects = std::move(aObjects);
  return delta;
}

// A page of 100 shards, with the epochs of some entries by their index.
stored_object
Page(const std::map<std::size_t, std::int64_t>& aEpochs, std::int64_t aRevision)
{
  shard_page page = MakeEmptyPage("board", 0, 100);
  for (const auto& [index, epoch] : aEpochs) {
    page.mEntries[index] = { MakeIdentity("n1", 1), epoch };
  }
  stored_object object;
  object.kind = std::string(kShardPageKind);
  object.name = PageName("board", 0);
  object.revision = aRevision;
  object.body = Serialize(page);
  return object;
}

std::int64_t
EpochAt(const cluster_view& aView, int aIndex)
{
  return aView.FindEntry({ "board", aIndex })->mEpoch;
}

stored_object
Record(std::int64_t aIncarnation, node_state aState, std::int64_t aRevision)
{
  node_record record;
  record.mIdentity = MakeIdentity("n1", aIncarnation);
  record.mState = aState;
  stored_object object;
  object.kind = std::string(kNodeKind);
  object.name = "n1";
  object.revision = aRevision;
  object.body = Serialize(record);
  return object;
}

BOOST_AUTO_TEST_SUITE(cluster_view_updates)

BOOST_AUTO_TEST_SUITE(page_patch)

BOOST_AUTO_TEST_CASE(is_sent_to_a_node_with_an_earlier_revision)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Page({ { 5, 1 } }, 3) }), kNow);
  cluster_view other;
  other.Apply(view.ChangesAfter(0), kNow);
  view.Apply(Delta(3, 4, { Page({ { 5, 2 } }, 4) }), kNow);
  view.Apply(Delta(4, 7, { Page({ { 5, 2 }, { 6, 3 } }, 7) }), kNow);
  const object_delta update = view.ChangesAfter(3);
  BOOST_REQUIRE_EQUAL(update.objects.size(), 1u);
  BOOST_CHECK_EQUAL(update.objects[0].patch_base, 3);
  BOOST_CHECK(other.Apply(update, kNow) == view_change::kApplied);
  BOOST_CHECK_EQUAL(EpochAt(other, 6), 3);
  BOOST_CHECK_EQUAL(EpochAt(other, 5), EpochAt(view, 5));
  // A view that received the page as a patch forwards it whole.
  cluster_view third;
  BOOST_CHECK(third.Apply(other.ChangesAfter(0), kNow) ==
              view_change::kApplied);
  BOOST_CHECK_EQUAL(EpochAt(third, 6), 3);
}

BOOST_AUTO_TEST_CASE(is_ignored_when_it_is_older_than_the_page)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Page({ { 5, 1 } }, 3) }), kNow);
  view.Apply(Delta(3, 4, { Page({ { 5, 2 } }, 4) }), kNow);
  cluster_view other;
  other.Apply(Delta(0, 9, { Page({ { 5, 4 } }, 9) }), kNow);
  BOOST_CHECK(other.Apply(view.ChangesAfter(3), kNow) ==
              view_change::kNoChange);
  BOOST_CHECK_EQUAL(EpochAt(other, 5), 4);
}

BOOST_AUTO_TEST_CASE(applies_ahead_of_the_revisions_between)
{
  cluster_view writer;
  writer.Apply(Delta(0, 3, { Page({ { 5, 1 } }, 3) }), kNow);
  cluster_view other;
  other.Apply(writer.ChangesAfter(0), kNow);
  writer.ApplyObject(Page({ { 5, 2 } }, 8), kNow);
  const stored_object update =
    writer.ObjectChangeAfter(3, kShardPageKind, "board.0");
  BOOST_CHECK_EQUAL(update.patch_base, 3);
  other.Apply(Delta(0, 0, { update }), kNow);
  BOOST_CHECK_EQUAL(EpochAt(other, 5), 2);
  BOOST_CHECK_EQUAL(other.Revision(), 3);
  // A view without the base page ignores the patch.
  cluster_view late;
  late.Apply(Delta(0, 2, {}), kNow);
  late.Apply(Delta(0, 0, { update }), kNow);
  BOOST_CHECK_EQUAL(late.ContiguousRevision(), 2);
}

BOOST_AUTO_TEST_CASE(triggers_a_full_resync_when_its_base_is_missing)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Page({ { 5, 1 } }, 3) }), kNow);
  view.Apply(Delta(3, 4, { Page({ { 5, 2 } }, 4) }), kNow);
  cluster_view other; // complete up to revision 3, but without the page
  other.Apply(Delta(0, 3, {}), kNow);
  BOOST_CHECK(other.Apply(view.ChangesAfter(3), kNow) == view_change::kGap);
  BOOST_CHECK_EQUAL(other.ContiguousRevision(), 0);
  other.Apply(view.ChangesAfter(other.ContiguousRevision()), kNow);
  BOOST_CHECK_EQUAL(other.ContiguousRevision(), 4);
  BOOST_CHECK_EQUAL(EpochAt(other, 5), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ignore_an_older_configuration)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Configuration(3, 9) }), kNow);
  view.Apply(Delta(0, 5, { Configuration(2, 5) }), kNow);
  view.ApplyObject(Configuration(2, 5), kNow);
  // Also when the store itself was reset to an older configuration.
  view.Apply(Delta(9, 12, { Configuration(1, 12) }), kNow);
  BOOST_CHECK_EQUAL(view.Configuration().mNumber, 3);
}

BOOST_AUTO_TEST_CASE(reject_a_delta_with_a_gap)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Configuration(3, 9) }), kNow);
  BOOST_CHECK(view.Apply(Delta(11, 15, {}), kNow) == view_change::kGap);
  BOOST_CHECK_EQUAL(view.Revision(), 9);
}

BOOST_AUTO_TEST_CASE(can_be_forwarded_from_any_revision)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Configuration(3, 9) }), kNow);
  cluster_view other;
  BOOST_CHECK(other.Apply(view.ChangesAfter(0), kNow) == view_change::kApplied);
  BOOST_CHECK_EQUAL(other.Configuration().mNumber, 3);
  BOOST_CHECK(other.Apply(view.ChangesAfter(9), kNow) ==
              view_change::kNoChange);
}

BOOST_AUTO_TEST_CASE(skip_malformed_objects)
{
  cluster_view view;
  stored_object broken = Configuration(4, 10);
  broken.body = "{";
  view.Apply(Delta(0, 9, { Configuration(3, 9) }), kNow);
  BOOST_CHECK(view.Apply(Delta(9, 10, { broken }), kNow) ==
              view_change::kApplied);
  BOOST_CHECK_EQUAL(view.Configuration().mNumber, 3);
}

BOOST_AUTO_TEST_SUITE(restored_store)

BOOST_AUTO_TEST_CASE(does_not_bring_back_earlier_owners)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Page({ { 5, 4 }, { 6, 1 } }, 9) }), kNow);
  const std::int64_t restored = MakeRevision(1, 3);
  view.Apply(Delta(0, restored, { Page({ { 5, 2 }, { 6, 1 } }, restored) }),
             kNow);
  BOOST_CHECK_EQUAL(view.Era(), 1);
  BOOST_CHECK_EQUAL(EpochAt(view, 5), 4);
  BOOST_CHECK(view.IsUnsaved(kShardPageKind, PageName("board", 0)));
  // The next write is based on the revision that the store has now.
  BOOST_CHECK_EQUAL(view.FindPage("board", 0)->mRevision, restored);

  const std::int64_t saved = MakeRevision(1, 4);
  view.ApplyObject(Page({ { 5, 4 }, { 6, 1 } }, saved), kNow);
  BOOST_CHECK(!view.HasUnsaved());
  BOOST_CHECK_EQUAL(EpochAt(view, 5), 4);
}

BOOST_AUTO_TEST_CASE(is_not_what_the_first_era_means)
{
  cluster_view view;
  const std::int64_t revision = MakeRevision(1, 3);
  view.Apply(Delta(0, revision, { Page({ { 5, FirstCountOf(1) } }, revision) }),
             kNow);
  BOOST_CHECK_EQUAL(view.Era(), 1);
  BOOST_CHECK(!view.WasRestored());
  view.Apply(Delta(0, MakeRevision(2, 2), {}), kNow);
  BOOST_CHECK(view.WasRestored());
}

BOOST_AUTO_TEST_CASE(shows_by_content_of_an_earlier_era)
{
  const std::int64_t revision = MakeRevision(1, 3);
  cluster_view of_page;
  of_page.Apply(Delta(0, revision, { Page({ { 5, 4 } }, revision) }), kNow);
  BOOST_CHECK(of_page.WasRestored());
  cluster_view of_record;
  of_record.Apply(
    Delta(0, revision, { Record(2, node_state::kActive, revision) }), kNow);
  BOOST_CHECK(of_record.WasRestored());
}

BOOST_AUTO_TEST_CASE(has_to_create_lost_objects_again)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Page({ { 5, 4 } }, 9) }), kNow);
  view.Apply(Delta(0, MakeRevision(1, 3), {}), kNow);
  BOOST_CHECK(view.IsUnsaved(kShardPageKind, PageName("board", 0)));
  BOOST_CHECK_EQUAL(view.FindPage("board", 0)->mRevision, 0);
  BOOST_CHECK_EQUAL(EpochAt(view, 5), 4);
}

BOOST_AUTO_TEST_CASE(does_not_bring_back_a_retired_node)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Record(2, node_state::kRetired, 9) }), kNow);
  const std::int64_t restored = MakeRevision(1, 3);
  view.Apply(Delta(0, restored, { Record(2, node_state::kActive, restored) }),
             kNow);
  BOOST_CHECK(!view.FindNode("n1")->IsActive());
  BOOST_CHECK_EQUAL(view.FindNode("n1")->mRevision, restored);
  BOOST_CHECK(view.IsUnsaved(kNodeKind, "n1"));
}

// Guards against shards that stay without a server after a restore: the node
// takes its lost record for saved, as others pass it on, and nobody writes it.
BOOST_AUTO_TEST_CASE(tells_the_node_itself_that_its_record_is_lost)
{
  const std::int64_t restored = MakeRevision(1, 3);
  cluster_view other;
  other.Apply(Delta(0, 9, { Record(2, node_state::kActive, 9) }), kNow);
  other.Apply(Delta(0, restored, { Record(1, node_state::kRetired, restored) }),
              kNow);
  cluster_view own;
  own.Apply(Delta(0, 9, { Record(2, node_state::kActive, 9) }), kNow);
  own.Apply(other.ChangesAfter(9), kNow);
  BOOST_CHECK_EQUAL(own.FindNode("n1")->mIdentity.incarnation, 2);
  BOOST_CHECK_EQUAL(own.FindNode("n1")->mRevision, restored);
  BOOST_CHECK(own.IsUnsaved(kNodeKind, "n1"));
  const std::int64_t saved = MakeRevision(1, 4);
  own.ApplyObject(Record(2, node_state::kActive, saved), kNow);
  BOOST_CHECK(!own.IsUnsaved(kNodeKind, "n1"));
}

BOOST_AUTO_TEST_CASE(keeps_the_configuration_and_takes_the_next_one)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Configuration(5, 9) }), kNow);
  const std::int64_t restored = MakeRevision(1, 3);
  view.Apply(Delta(0, restored, { Configuration(4, restored) }), kNow);
  BOOST_CHECK_EQUAL(view.Configuration().mNumber, 5);
  view.ApplyObject(Configuration(6, MakeRevision(1, 4)), kNow);
  BOOST_CHECK_EQUAL(view.Configuration().mNumber, 6);
  // One that the store has lost, from a node that knows it.
  view.ApplyObject(Configuration(7, 11), kNow);
  BOOST_CHECK_EQUAL(view.Configuration().mNumber, 7);
}

BOOST_AUTO_TEST_CASE(sends_pages_whole_afterwards)
{
  cluster_view view;
  view.Apply(Delta(0, 9, { Page({ { 5, 4 } }, 9) }), kNow);
  const std::int64_t restored = MakeRevision(1, 3);
  const std::int64_t saved = MakeRevision(1, 4);
  view.Apply(Delta(0, restored, { Page({ { 5, 2 } }, restored) }), kNow);
  view.Apply(Delta(restored, saved, { Page({ { 5, 4 } }, saved) }), kNow);
  // Another node may have the page of `restored` without what this one knew.
  cluster_view other;
  other.Apply(Delta(0, restored, { Page({ { 5, 2 } }, restored) }), kNow);
  BOOST_CHECK(other.Apply(view.ChangesAfter(restored), kNow) ==
              view_change::kApplied);
  BOOST_CHECK_EQUAL(EpochAt(other, 5), 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entry_that_another_program_replaced_by_unreadable_content)

stored_object
Unreadable(stored_object aObject, std::int64_t aRevision)
{
  aObject.revision = aRevision;
  aObject.body = "";
  return aObject;
}

BOOST_AUTO_TEST_CASE(
  keeps_the_record_and_leaves_it_unsaved_until_it_is_rewritten)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Record(2, node_state::kActive, 3) }), kNow);
  view.Apply(Delta(3, 5, { Unreadable(Record(2, node_state::kActive, 3), 5) }),
             kNow);
  const node_record* record = view.FindNode("n1");
  BOOST_REQUIRE(record != nullptr);
  BOOST_CHECK_EQUAL(record->mIdentity.incarnation, 2);
  BOOST_CHECK_EQUAL(record->mRevision, 5); // the base of the next write
  BOOST_CHECK(view.IsUnsaved(kNodeKind, "n1"));
  cluster_view other;
  other.Apply(view.ChangesAfter(0), kNow);
  BOOST_CHECK(other.FindNode("n1") != nullptr);
  view.Apply(Delta(5, 6, { Record(2, node_state::kActive, 6) }), kNow);
  BOOST_CHECK(!view.IsUnsaved(kNodeKind, "n1"));
}

BOOST_AUTO_TEST_CASE(keeps_the_entries_of_a_page)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Page({ { 5, 8 } }, 3) }), kNow);
  view.Apply(Delta(3, 5, { Unreadable(Page({}, 3), 5) }), kNow);
  BOOST_CHECK_EQUAL(EpochAt(view, 5), 8);
  BOOST_CHECK_EQUAL(view.FindPage("board", 0)->mRevision, 5);
  BOOST_CHECK(view.IsUnsaved(kShardPageKind, "board.0"));
  view.Apply(Delta(5, 6, { Page({ { 5, 9 } }, 6) }), kNow);
  BOOST_CHECK_EQUAL(EpochAt(view, 5), 9);
  BOOST_CHECK(!view.IsUnsaved(kShardPageKind, "board.0"));
}

BOOST_AUTO_TEST_CASE(that_the_platform_then_loses_names_no_node)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Unreadable(Record(1, node_state::kActive, 3), 3) }),
             kNow);
  view.Apply(Delta(3, MakeRevision(1, 2), {}), kNow);
  BOOST_CHECK(view.FindNode("n1") == nullptr);
  BOOST_CHECK(view.Nodes().empty());
  BOOST_CHECK(!view.HasUnsaved());
}

BOOST_AUTO_TEST_CASE(names_no_node_if_nothing_else_is_known)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { Unreadable(Record(1, node_state::kActive, 3), 3) }),
             kNow);
  BOOST_CHECK(view.FindNode("n1") == nullptr);
  BOOST_CHECK(!view.HasUnsaved());
  BOOST_CHECK_EQUAL(view.Revision(), 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(evacuated_failure_domains)

stored_object
ServerRecord(const std::string& aName,
             const std::string& aDomain,
             std::int64_t aRevision)
{
  node_record record;
  record.mIdentity = MakeIdentity(aName, 1);
  record.mFailureDomain = aDomain;
  record.mServer.emplace().mService = "board";
  stored_object object;
  object.kind = std::string(kNodeKind);
  object.name = aName;
  object.revision = aRevision;
  object.body = Serialize(record);
  return object;
}

bool
AcceptsWork(const cluster_view& aView, std::string_view aName)
{
  return aView.FindNode(aName)->AcceptsWork("board");
}

BOOST_AUTO_TEST_CASE(take_no_work_until_the_evacuation_ends)
{
  cluster_view view;
  view.Apply(
    Delta(0,
          4,
          { ServerRecord("n1", "soum-1", 3), ServerRecord("n2", "soum-2", 4) }),
    kNow);
  const std::int64_t generation = view.RecordsGeneration();
  // The list may have the revision of another object.
  view.Apply(Delta(0, 0, { MakeEvacuationObject({ 4, { "soum-1" } }) }), kNow);
  BOOST_CHECK_GT(view.RecordsGeneration(), generation);
  BOOST_CHECK(!AcceptsWork(view, "n1"));
  BOOST_CHECK(AcceptsWork(view, "n2"));
  BOOST_CHECK_EQUAL(view.ChangesAfter(0).objects.size(), 2u);
  BOOST_TEST_CONTEXT("a record that is written or joins in the middle")
  {
    view.Apply(Delta(4,
                     6,
                     { ServerRecord("n1", "soum-1", 5),
                       ServerRecord("n3", "soum-1", 6) }),
               kNow);
    BOOST_CHECK(!AcceptsWork(view, "n1"));
    BOOST_CHECK(!AcceptsWork(view, "n3"));
  }
  view.TakeEvacuations({ 7, {} });
  BOOST_CHECK(AcceptsWork(view, "n1"));
  BOOST_CHECK(AcceptsWork(view, "n3"));
}

BOOST_AUTO_TEST_CASE(stay_when_another_program_overwrites_the_list)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { ServerRecord("n1", "soum-1", 3) }), kNow);
  view.TakeEvacuations({ 4, { "soum-1" } });
  stored_object odd = MakeEvacuationObject({ 5, {} });
  odd.body = R"({"domains":7})";
  view.Apply(Delta(3, 5, { odd }), kNow);
  BOOST_CHECK(!AcceptsWork(view, "n1"));
}

BOOST_AUTO_TEST_CASE(are_those_of_the_store_after_a_restore)
{
  cluster_view view;
  view.Apply(Delta(0, 3, { ServerRecord("n1", "soum-1", 3) }), kNow);
  view.TakeEvacuations({ 100, { "soum-1" } });
  view.Apply(Delta(0, 0, { MakeEvacuationObject({ MakeRevision(1, 2), {} }) }),
             kNow);
  BOOST_CHECK(AcceptsWork(view, "n1"));
  view.TakeEvacuations({ 101, { "soum-1" } });
  BOOST_CHECK(AcceptsWork(view, "n1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
