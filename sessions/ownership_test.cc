#include "sessions/fault_exploration.h"
#include "sessions/golden_file.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kShards = 6;
constexpr std::uint64_t kSeed = 7;

model_settings
FaultFreeSettings(int aNodes)
{
  model_settings settings;
  settings.mNodes = aNodes;
  settings.mShards = kShards;
  return settings;
}

// A cluster without faults in which every shard is served and every node owns
// at least one.
struct settled_cluster
{
  explicit settled_cluster(int aNodes = 5)
    : mModel(FaultFreeSettings(aNodes), kSeed)
  {
    mModel.Run(seconds(10));
    BOOST_REQUIRE_EQUAL(mModel.ServedShards(), kShards);
    for (int node = 0; node < aNodes; ++node) {
      BOOST_REQUIRE_GT(mModel.OwnedShards(node), 0);
    }
  }

  void CompareWithGolden(const std::string& aName)
  {
    BOOST_CHECK_EQUAL(mModel.Violation(), "");
    BOOST_CHECK_EQUAL(mModel.Log(), GoldenText(aName, mModel.Log()));
  }

  cluster_model mModel;
};

// Explores 100 seeds.
void
CheckOwnersOfEachSeed(const model_settings& aSettings)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    cluster_model model(aSettings, seed);
    model.Run(seconds(30));
    BOOST_REQUIRE_MESSAGE(model.Violation().empty(),
                          "seed " << seed << ": " << model.Violation());
  }
}

// Explores 30 seeds, whose faults end after 20 s.
void
CheckServedAfterFaults(std::string_view aRule)
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    model_settings settings = ExplorationSettings(aRule);
    settings.mFaultsEnd = seconds(20);
    cluster_model model(settings, seed);
    model.Run(seconds(70));
    BOOST_CHECK_MESSAGE(model.ServedShards() == settings.mShards,
                        "seed " << seed << ": expected " << settings.mShards
                                << " shards served, got "
                                << model.ServedShards());
  }
}

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_SUITE(when_a_node_is_lost)

BOOST_AUTO_TEST_CASE(its_shards_are_served_again_within_3_s)
{
  settled_cluster cluster;
  cluster.mModel.Kill(1);
  cluster.mModel.Run(seconds(3));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("kill");
}

BOOST_AUTO_TEST_CASE(shards_of_two_lost_nodes_are_taken_over)
{
  settled_cluster cluster;
  cluster.mModel.Kill(1);
  cluster.mModel.Kill(2);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("kill_two");
}

BOOST_AUTO_TEST_CASE(in_a_cluster_of_three_the_platform_vouches_for_takeover)
{
  settled_cluster cluster(3);
  cluster.mModel.Kill(1);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("kill_of_three");
}

BOOST_AUTO_TEST_CASE(a_restart_under_its_name_is_a_new_incarnation)
{
  settled_cluster cluster;
  cluster.mModel.Kill(1);
  cluster.mModel.Run(milliseconds(100));
  cluster.mModel.Restart(1);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  BOOST_CHECK_EQUAL(
    cluster.mModel.Node(1).LocalMembership().Identity().incarnation, 2);
  cluster.CompareWithGolden("kill_and_restart");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_node_is_paused)

BOOST_AUTO_TEST_CASE(a_long_pause_loses_its_shards_and_it_rejoins)
{
  settled_cluster cluster;
  cluster.mModel.Freeze(1, seconds(5));
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK(cluster.mModel.Node(1).IsMember());
  cluster.CompareWithGolden("freeze_and_thaw");
}

BOOST_AUTO_TEST_CASE(a_short_pause_moves_no_shard)
{
  settled_cluster cluster;
  cluster.mModel.Freeze(1, milliseconds(600));
  cluster.mModel.Run(seconds(3));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  BOOST_CHECK_EQUAL(
    cluster.mModel.Node(1).LocalMembership().Identity().incarnation, 1);
  cluster.CompareWithGolden("short_freeze");
}

BOOST_AUTO_TEST_CASE(a_replacement_under_its_name_ends_the_old_process)
{
  settled_cluster cluster;
  cluster.mModel.Freeze(1, seconds(5));
  cluster.mModel.StartDuplicate(1);
  cluster.mModel.Run(seconds(8));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  BOOST_CHECK_EQUAL(
    cluster.mModel.Node(1).LocalMembership().Identity().incarnation, 2);
  BOOST_CHECK(cluster.mModel.Node(1).IsMember());
  cluster.CompareWithGolden("replaced_while_frozen");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_node_is_cut_off)

void
IsolateAndRejoin(bool aBlockPlatform, const std::string& aGolden)
{
  settled_cluster cluster;
  cluster.mModel.Isolate(1, seconds(5), aBlockPlatform);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.mModel.Run(seconds(4));
  cluster.CompareWithGolden(aGolden);
}

BOOST_AUTO_TEST_CASE(from_other_nodes_its_shards_are_taken_over)
{
  IsolateAndRejoin(false, "isolated_from_nodes");
}

BOOST_AUTO_TEST_CASE(from_nodes_and_platform_its_shards_are_taken_over)
{
  IsolateAndRejoin(true, "isolated_wholly");
}

// Guards against a node that keeps an old configuration: other nodes watch the
// platform for it, and it can't hear from them.
BOOST_AUTO_TEST_CASE(from_other_nodes_it_reads_the_platform_itself)
{
  constexpr int kNodes = 12; // more than watch the platform
  for (int node = 0; node < kNodes; ++node) {
    cluster_model model(FaultFreeSettings(kNodes), kSeed);
    model.Run(seconds(10));
    const node_identity self = model.Node(node).LocalMembership().Identity();
    BOOST_REQUIRE(model.Node(node).View().IsActiveIncarnation(self));
    model.Isolate(node, seconds(10), false);
    model.Run(seconds(3));
    BOOST_CHECK_MESSAGE(!model.Node(node).View().IsActiveIncarnation(self),
                        ToText(self) << " does not know that it is fenced");
  }
}

BOOST_AUTO_TEST_CASE(in_one_direction_it_keeps_the_lease_a_majority_vouches_for)
{
  settled_cluster cluster;
  cluster.mModel.BlockLink(1, 2, seconds(5));
  cluster.mModel.Run(seconds(6));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("one_way_cut");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_platform_is_down)

BOOST_AUTO_TEST_CASE(for_an_hour_owners_keep_serving)
{
  settled_cluster cluster;
  cluster.mModel.StartPlatformOutage(std::chrono::hours(1));
  for (int minute = 0; minute < 60; ++minute) {
    cluster.mModel.Run(seconds(59));
    BOOST_REQUIRE_EQUAL(cluster.mModel.ServedShards(), kShards);
  }
  cluster.CompareWithGolden("platform_outage");
}

BOOST_AUTO_TEST_CASE(a_lost_nodes_shards_are_taken_over_only_after_the_outage)
{
  settled_cluster cluster;
  cluster.mModel.StartPlatformOutage(seconds(10));
  cluster.mModel.Kill(1);
  cluster.mModel.Run(seconds(9));
  BOOST_CHECK_LT(cluster.mModel.ServedShards(), kShards);
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("loss_in_outage");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_answer_of_the_platform_is_lost)

// Guards against two owners after a renewal that the platform answers as done
// though it changed nothing: no other node sees it.
BOOST_AUTO_TEST_CASE(a_lease_of_three_is_renewed_only_by_a_new_revision)
{
  settled_cluster cluster(3);
  cluster_model& model = cluster.mModel;
  const auto has_unresolved_write = [&] {
    return model.Node(1).LocalMembership().Lease().HasUnresolvedWrite();
  };
  model.LoseNextResponseTo(1);
  model.Run(milliseconds(500));
  BOOST_REQUIRE(has_unresolved_write());
  while (has_unresolved_write()) {
    model.Run(milliseconds(1));
  }
  model.Isolate(1, seconds(3), true);
  model.Run(seconds(3));
  BOOST_CHECK_EQUAL(model.Violation(), "");
  BOOST_CHECK_EQUAL(model.ServedShards(), kShards);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_operator_acts)

BOOST_AUTO_TEST_CASE(a_drained_node_hands_over_its_shards_and_leaves)
{
  settled_cluster cluster;
  cluster.mModel.Drain(1);
  cluster.mModel.Run(seconds(8));
  BOOST_CHECK(cluster.mModel.Node(1).IsFinished());
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("drain");
}

BOOST_AUTO_TEST_CASE(a_move_whose_answer_is_lost_is_completed_not_resumed)
{
  settled_cluster cluster;
  cluster.mModel.LoseNextResponses(1);
  for (int shard = 0; shard < kShards; ++shard) {
    cluster.mModel.Move(shard, 3);
  }
  cluster.mModel.Run(seconds(4));
  BOOST_CHECK_EQUAL(cluster.mModel.ServedShards(), kShards);
  cluster.CompareWithGolden("move_with_lost_answer");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_all_faults_at_once)

BOOST_AUTO_TEST_CASE(no_shard_ever_has_two_owners)
{
  CheckOwnersOfEachSeed(ExplorationSettings(""));
}

// With fewer than four nodes, leases are renewed by writes of the records.
BOOST_AUTO_TEST_CASE(no_shard_has_two_owners_in_a_cluster_of_three)
{
  model_settings settings = ExplorationSettings("");
  settings.mNodes = 3;
  settings.mLostResponsePermille = 300;
  CheckOwnersOfEachSeed(settings);
}

BOOST_AUTO_TEST_CASE(every_shard_is_served_after_the_faults_end)
{
  CheckServedAfterFaults("");
}

BOOST_AUTO_TEST_CASE(no_shard_has_two_owners_when_the_platform_is_restored)
{
  CheckOwnersOfEachSeed(ExplorationSettings(kRestores));
}

// With seed 7054, the third restore loses the record of a frozen process, and a
// second process under its name starts at another address.
BOOST_AUTO_TEST_CASE(
  no_shard_has_two_owners_when_a_process_starts_while_the_platform_recovers)
{
  cluster_model model(ExplorationSettings(kRestores), 7054);
  model.Run(seconds(30));
  BOOST_CHECK_EQUAL(model.Violation(), "");
}

BOOST_AUTO_TEST_CASE(every_shard_is_served_after_restores_of_the_platform)
{
  CheckServedAfterFaults(kRestores);
}

// With each of these rules disabled, the seed leads to a shard with two owners;
// with all rules enabled it does not. The golden file holds the failing run.
BOOST_AUTO_TEST_CASE(disabling_a_rule_allows_two_owners)
{
  struct counter_example
  {
    std::string mRule;
    std::uint64_t mSeed;
  };
  const counter_example examples[] = {
    { "count-from-sending", 23 },
    { "taker-waits", 1067 },
    { "never-resume-after-lost-write", 33 },
  };
  for (const counter_example& example : examples) {
    cluster_model model(ExplorationSettings(example.mRule), example.mSeed);
    model.Run(seconds(30));
    BOOST_CHECK_MESSAGE(!model.Violation().empty(),
                        "expected a shard with two owners without rule "
                          << example.mRule << " and seed " << example.mSeed);
    BOOST_CHECK_EQUAL(model.Log(),
                      GoldenText("without_" + example.mRule, model.Log()));
    cluster_model with_rule(ExplorationSettings(""), example.mSeed);
    with_rule.Run(seconds(30));
    BOOST_CHECK_EQUAL(with_rule.Violation(), "");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
