#include "plantaindale/request/routing_snapshot.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

constexpr char kPeer[] = "10.0.0.1:80";

routing_snapshot
WithNode(node_state aState, std::int64_t aIncarnation)
{
  routing_snapshot snapshot;
  node_record record;
  record.mIdentity = MakeIdentity("n1", aIncarnation);
  record.mState = aState;
  record.mAddresses.mPeer = kPeer;
  snapshot.mNodes = std::make_shared<const cluster_view::node_map>(
    cluster_view::node_map{ { "n1", record } });
  return snapshot;
}

BOOST_AUTO_TEST_SUITE(forwarded_requests)

// A node that leaves voluntarily completes its running requests, so attempts
// there must not be cancelled when it is marked as left.
BOOST_AUTO_TEST_CASE(continue_when_the_node_leaves)
{
  const routing_snapshot snapshot = WithNode(node_state::kLeft, 4);
  BOOST_CHECK(!snapshot.HasEnded(MakeIdentity("n1", 4), kPeer));
}

// A restarted process accepts requests before its new incarnation has joined.
// They must not be cancelled when it joins.
BOOST_AUTO_TEST_CASE(
  continue_when_the_next_incarnation_joins_at_the_same_address)
{
  const routing_snapshot snapshot = WithNode(node_state::kActive, 5);
  BOOST_CHECK(!snapshot.HasEnded(MakeIdentity("n1", 4), kPeer));
  BOOST_CHECK(snapshot.HasEnded(MakeIdentity("n1", 4), "10.0.0.2:80"));
}

BOOST_AUTO_TEST_CASE(are_cancelled_when_the_node_is_fenced)
{
  const node_identity node = MakeIdentity("n1", 4);
  BOOST_CHECK(WithNode(node_state::kFenced, 4).HasEnded(node, kPeer));
  BOOST_CHECK(WithNode(node_state::kRetired, 4).HasEnded(node, kPeer));
  BOOST_CHECK(!WithNode(node_state::kActive, 4).HasEnded(node, kPeer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(held_shards_test)

BOOST_AUTO_TEST_CASE(finds_the_range_of_a_shard)
{
  held_shards held;
  held.mService = "board";
  const instant end = boot_clock::now();
  held.mRanges = { { 2, 4, end }, { 7, 7, end + duration(5) } };
  BOOST_CHECK(held.HeldUntil({ "board", 2 }) == end);
  BOOST_CHECK(held.HeldUntil({ "board", 4 }) == end);
  BOOST_CHECK(held.HeldUntil({ "board", 7 }) == end + duration(5));
  for (const int shard : { 1, 5, 8 }) {
    BOOST_CHECK(held.HeldUntil({ "board", shard }) == kNever);
  }
  BOOST_CHECK(held.HeldUntil({ "crier", 2 }) == kNever);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(routes_during_an_evacuation)

// Two nodes with servers of `board`, each evacuated or not.
routing_snapshot
WithEvacuated(bool aIsFirst, bool aIsSecond)
{
  cluster_view::node_map nodes;
  for (const auto& [name, is_evacuated] :
       { std::pair("n1", aIsFirst), std::pair("n2", aIsSecond) }) {
    node_record& record = nodes[name];
    record.mIdentity = MakeIdentity(name, 1);
    record.mServer.emplace().mService = "board";
    record.mIsEvacuated = is_evacuated;
  }
  routing_snapshot snapshot;
  snapshot.mHasEvacuations = aIsFirst || aIsSecond;
  snapshot.mNodes =
    std::make_shared<const cluster_view::node_map>(std::move(nodes));
  return snapshot;
}

BOOST_AUTO_TEST_CASE(do_not_lead_to_the_owner_of_a_key_there)
{
  const routing_snapshot snapshot = WithEvacuated(true, false);
  BOOST_CHECK(snapshot.FindActing(MakeIdentity("n1", 1)) == nullptr);
  BOOST_CHECK(snapshot.FindActing(MakeIdentity("n2", 1)) != nullptr);
}

BOOST_AUTO_TEST_CASE(end_only_where_all_servers_of_the_service_are_evacuated)
{
  BOOST_CHECK(!WithEvacuated(false, false).IsEvacuated("board"));
  BOOST_CHECK(!WithEvacuated(true, false).IsEvacuated("board"));
  BOOST_CHECK(WithEvacuated(true, true).IsEvacuated("board"));
  BOOST_CHECK(!WithEvacuated(true, true).IsEvacuated("crier"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
