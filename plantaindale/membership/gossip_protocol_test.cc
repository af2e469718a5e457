#include "plantaindale/membership/gossip_protocol.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/net/codec.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr int kRoutes = 1600;
const instant kNow{ std::chrono::seconds(100) };
const std::string kPeer = "10.0.0.2:82";

// A configuration whose route 0 leads to `/moved-NUMBER/`.
stored_object
Configuration(std::int64_t aNumber, int aRoutes = kRoutes)
{
  json::object routes;
  for (int i = 0; i < aRoutes; ++i) {
    routes[absl::StrCat("route-", i)] = {
      { "host", absl::StrCat("host-", i, ".example") },
      { "path_prefix",
        i == 0 ? absl::StrCat("/moved-", aNumber, "/")
               : absl::StrCat("/path-", i, "/") },
      { "targets", { { "rolls", 1 } } }
    };
  }
  cluster_configuration configuration;
  configuration.mNumber = aNumber;
  configuration.mDocument = json::serialize(
    json::object{ { "services", { { "rolls", json::object() } } },
                  { "routes", std::move(routes) } });
  stored_object object;
  object.kind = std::string(kConfigurationKind);
  object.name = std::string(kConfigurationName);
  object.revision = 100 + aNumber;
  object.body = Serialize(configuration);
  return object;
}

object_delta
DeltaOf(const stored_object& aObject)
{
  object_delta delta;
  delta.objects.push_back(aObject);
  return delta;
}

// The messages by which a node with the view answers a peer that has version
// `aNumber` and asks for what it lacks.
std::vector<control_message>
AnswerTo(const cluster_view& aView, std::int64_t aNumber)
{
  gossip_protocol gossip("n1", "soum-1", "10.0.0.1:82", 1);
  protocol::digest request;
  request.address = kPeer;
  request.revision = aView.Revision();
  request.config_number = aNumber;
  request.wants_changes = true;
  std::int64_t next_token = 1;
  action_list actions(next_token);
  gossip.OnDigest(kNow, request, aView, actions);
  std::vector<control_message> messages;
  for (const action& action : actions.TakeActions()) {
    const auto* sent = std::get_if<send_message>(&action);
    if (sent != nullptr && sent->mAddress == kPeer) {
      messages.push_back(sent->mMessage);
    }
  }
  return messages;
}

struct two_views
{
  two_views()
  {
    for (cluster_view* view : { &mNode, &mPeer }) {
      view->ApplyObject(Configuration(1), kNow);
    }
  }

  // The peer asks the node, and applies the answers. Returns their total size.
  std::size_t Synchronize()
  {
    std::size_t bytes = 0;
    for (const control_message& message :
         AnswerTo(mNode, mPeer.Configuration().mNumber)) {
      bytes += Encode(message).size();
      mPeer.Apply(message.delta, kNow);
    }
    return bytes;
  }

  cluster_view mNode;
  cluster_view mPeer;
};

BOOST_AUTO_TEST_SUITE(gossip_of_the_configuration)

BOOST_FIXTURE_TEST_CASE(sends_what_changed_and_not_all_routes, two_views)
{
  mNode.ApplyObject(Configuration(2), kNow);
  mNode.ApplyObject(Configuration(4), kNow);
  BOOST_TEST(Synchronize() < 1000u);
  BOOST_CHECK_EQUAL(mPeer.Configuration().mNumber, 4);
  BOOST_CHECK(mPeer.Configuration().FindRoute("host-0.example", "/moved-4/"));
  BOOST_CHECK(!mPeer.Configuration().FindRoute("host-0.example", "/moved-1/"));
  BOOST_CHECK(mPeer.Configuration().FindRoute("host-9.example", "/path-9/"));
}

BOOST_FIXTURE_TEST_CASE(reaches_a_node_through_one_that_got_a_patch, two_views)
{
  mNode.ApplyObject(Configuration(2), kNow);
  mNode.ApplyObject(Configuration(3), kNow);
  Synchronize();
  // A third node has version 2, which the peer has never had in force.
  cluster_view third;
  third.ApplyObject(Configuration(2), kNow);
  for (const control_message& message : AnswerTo(mPeer, 2)) {
    BOOST_TEST(Encode(message).size() < 1000u);
    third.Apply(message.delta, kNow);
  }
  BOOST_CHECK_EQUAL(third.Configuration().mNumber, 3);
}

BOOST_FIXTURE_TEST_CASE(removes_and_adds_routes, two_views)
{
  mNode.ApplyObject(Configuration(2, 10), kNow);
  Synchronize();
  BOOST_CHECK_EQUAL(mPeer.Configuration().mRoutes.size(), 10u);
  mNode.ApplyObject(Configuration(3, 12), kNow);
  Synchronize();
  BOOST_CHECK_EQUAL(mPeer.Configuration().mRoutes.size(), 12u);
}

BOOST_FIXTURE_TEST_CASE(sends_all_of_it_to_a_node_with_an_unknown_version,
                        two_views)
{
  mNode.ApplyObject(Configuration(5), kNow);
  cluster_view late;
  late.ApplyObject(Configuration(3), kNow);
  for (const control_message& message : AnswerTo(mNode, 3)) {
    late.Apply(message.delta, kNow);
  }
  BOOST_CHECK_EQUAL(late.Configuration().mNumber, 5);
}

BOOST_FIXTURE_TEST_CASE(is_unchanged_by_a_patch_for_another_version, two_views)
{
  mNode.ApplyObject(Configuration(2), kNow);
  const auto answer = AnswerTo(mNode, 1);
  BOOST_REQUIRE(!answer.empty());
  mPeer.Apply(DeltaOf(Configuration(7)), kNow);
  mPeer.Apply(answer.back().delta, kNow);
  BOOST_CHECK_EQUAL(mPeer.Configuration().mNumber, 7);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(nodes_with_the_most_capacity_watch_the_platform)
{
  constexpr int kNodes = 20;
  cluster_view view;
  const auto has_capacity = [](int aNode) {
    return aNode % 5 < 2; // kWatcherCount of them
  };
  for (int node = 0; node < kNodes; ++node) {
    node_record record;
    record.mIdentity = MakeIdentity(absl::StrCat("n", node), 1);
    record.mFailureDomain = "soum-1";
    record.mCapacity = has_capacity(node) ? 0.5 : 0.1;
    stored_object object;
    object.kind = std::string(kNodeKind);
    object.name = record.mIdentity.name;
    object.revision = node + 1;
    object.body = Serialize(record);
    view.ApplyObject(object, kNow);
  }
  for (int node = 0; node < kNodes; ++node) {
    const gossip_protocol gossip(
      absl::StrCat("n", node), "soum-1", "10.0.0.1:82", 1);
    BOOST_CHECK_EQUAL(gossip.ShouldWatch(kNow, view), has_capacity(node));
  }
}

BOOST_AUTO_TEST_SUITE(gossip_of_evacuations)

// A node that knows one peer in its own failure domain and one in another.
struct node_with_peers
{
  node_with_peers()
    : mGossip("n1", "soum-1", "10.0.0.1:82", 1)
  {
    object_delta delta;
    delta.to_revision = 3;
    for (int node = 1; node <= 3; ++node) {
      node_record record;
      record.mIdentity = MakeIdentity(absl::StrCat("n", node), 1);
      record.mFailureDomain = node == 3 ? "soum-2" : "soum-1";
      record.mAddresses.mControl = absl::StrCat("10.0.0.", node, ":82");
      stored_object object;
      object.kind = std::string(kNodeKind);
      object.name = record.mIdentity.name;
      object.revision = node;
      object.body = Serialize(record);
      delta.objects.push_back(object);
    }
    mView.Apply(delta, kNow);
    Step(); // the first announcement and the first digest
  }

  // The digests that are sent.
  std::vector<protocol::digest> Digests(action_list& aActions)
  {
    std::vector<protocol::digest> digests;
    for (const action& action : aActions.TakeActions()) {
      const auto* sent = std::get_if<send_message>(&action);
      if (sent != nullptr && sent->mMessage.__isset.known) {
        digests.push_back(sent->mMessage.known);
      }
    }
    return digests;
  }
  std::vector<protocol::digest> Step()
  {
    action_list actions(mNextToken);
    mGossip.Step(kNow, mView, protocol::digest(), actions);
    return Digests(actions);
  }
  std::vector<protocol::digest> AnswersTo(std::int64_t aRevision,
                                          std::vector<std::string> aDomains)
  {
    protocol::digest digest;
    digest.sender = MakeIdentity("n2", 1);
    digest.address = kPeer;
    digest.revision = mView.Revision();
    digest.evacuations_revision = aRevision;
    digest.evacuated_domains = std::move(aDomains);
    action_list actions(mNextToken);
    mGossip.OnDigest(kNow, digest, mView, actions);
    return Digests(actions);
  }

  cluster_view mView;
  gossip_protocol mGossip;
  std::int64_t mNextToken = 1;
};

BOOST_FIXTURE_TEST_CASE(tells_each_domain_at_once, node_with_peers)
{
  mView.TakeEvacuations({ 9, { "soum-2" } });
  const auto told = Step();
  BOOST_REQUIRE_EQUAL(told.size(), 2u);
  for (const protocol::digest& digest : told) {
    BOOST_CHECK_EQUAL(digest.evacuations_revision, 9);
    BOOST_REQUIRE_EQUAL(digest.evacuated_domains.size(), 1u);
    BOOST_CHECK_EQUAL(digest.evacuated_domains[0], "soum-2");
  }
  BOOST_CHECK(Step().empty());
  BOOST_TEST_CONTEXT("a later revision of the same list is not announced")
  {
    mView.TakeEvacuations({ 12, { "soum-2" } });
    BOOST_CHECK(Step().empty());
  }
  mView.TakeEvacuations({ 15, {} });
  BOOST_CHECK_EQUAL(Step().size(), 2u);
}

BOOST_FIXTURE_TEST_CASE(answers_a_peer_that_missed_a_change, node_with_peers)
{
  BOOST_CHECK(AnswersTo(0, {}).empty());
  mView.TakeEvacuations({ 9, { "soum-2" } });
  BOOST_CHECK_EQUAL(AnswersTo(0, {}).size(), 1u);
  BOOST_CHECK_EQUAL(AnswersTo(8, {}).size(), 1u);
  BOOST_CHECK(AnswersTo(8, { "soum-2" }).empty());
  BOOST_CHECK(AnswersTo(9, { "soum-2" }).empty());
  BOOST_CHECK(AnswersTo(11, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
