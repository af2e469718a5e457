#include "plantaindale/node/node_machine.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart{ seconds(100) };

stored_object
Stored(std::string_view aKind,
       const std::string& aName,
       std::int64_t aRevision,
       std::string aBody)
{
  stored_object object;
  object.kind = std::string(aKind);
  object.name = aName;
  object.revision = aRevision;
  object.body = std::move(aBody);
  return object;
}

stored_object
Configuration(std::int64_t aNumber, std::int64_t aRevision)
{
  cluster_configuration configuration;
  configuration.mNumber = aNumber;
  return Stored(kConfigurationKind,
                std::string(kConfigurationName),
                aRevision,
                Serialize(configuration));
}

announced_server
ServerStartedAt(std::int64_t aStart)
{
  announced_server server;
  server.mService = "board";
  server.mAddress = "127.0.0.1:9";
  server.mInstance = "i-1";
  server.mStartedAt = aStart;
  server.mKeepsGrants = true;
  return server;
}

std::optional<write_object>
FirstWrite(const std::vector<action>& aActions)
{
  for (const action& action : aActions) {
    if (const auto* write = std::get_if<write_object>(&action)) {
      return *write;
    }
  }
  return std::nullopt;
}

// A member that is a witness of the node x.
class witness_node
{
public:
  witness_node()
    : mMachine({ "w", "w", "", "soum-1", {} }, lease_timing(), 1)
  {
    node_record holder;
    holder.mIdentity = MakeIdentity("x", 1);
    object_delta store;
    store.to_revision = 3;
    store.objects = { Configuration(1, 2),
                      Stored(kNodeKind, "x", 3, Serialize(holder)) };
    Feed(store_changed{ store }, kStart);
  }

  // Answers the machine's writes as the store would, and returns its last vouch
  // reply.
  std::optional<protocol::vouch_reply> Feed(const event& aEvent, instant aNow)
  {
    std::optional<protocol::vouch_reply> reply;
    for (const action& action : mMachine.Step(aEvent, aNow)) {
      if (const auto* write = std::get_if<write_object>(&action)) {
        const conditional_write& write_request = write->mWrite;
        const auto stored = Stored(write_request.mKind,
                                   write_request.mName,
                                   ++mRevision,
                                   write_request.mBody);
        Feed(write_finished{ write->mToken, stored }, aNow);
      }
      const auto* sent = std::get_if<send_message>(&action);
      if (sent != nullptr && sent->mMessage.__isset.vouched) {
        reply = sent->mMessage.vouched;
      }
    }
    return reply;
  }

  bool Vouches(std::int64_t aConfigurationOfHolder, instant aNow)
  {
    protocol::vouch_request request;
    request.holder = MakeIdentity("x", 1);
    request.witness = mMachine.LocalMembership().Identity();
    request.config_number = aConfigurationOfHolder;
    control_message message;
    message.__set_vouch(request);
    const auto reply = Feed(message_received{ message }, aNow);
    return reply.has_value() && reply->vouched;
  }

  void LearnConfiguration(std::int64_t aNumber, instant aNow)
  {
    object_delta delta;
    delta.from_revision = 3;
    delta.to_revision = 4;
    delta.objects = { Configuration(aNumber, 4) };
    Feed(store_changed{ delta }, aNow);
  }

  const node_machine& Machine() const { return mMachine; }
  node_machine& Machine() { return mMachine; }

private:
  node_machine mMachine;
  std::int64_t mRevision = 10;
};

// A node that joins when three others are known, whose witnesses always vouch.
class joining_node
{
public:
  explicit joining_node(const std::string& aName)
    : mMachine({ aName, aName, "", "soum-1", {} }, lease_timing(), 1)
  {
    Learn(0, 3);
  }

  // Learns from the store of nodes up to `aCount`.
  void Learn(int aKnown, int aCount)
  {
    object_delta store;
    store.from_revision = mLearntRevision;
    if (aKnown == 0) {
      store.objects.push_back(Configuration(1, ++mStoreRevision));
    }
    for (int i = aKnown; i < aCount; ++i) {
      node_record record;
      record.mIdentity = MakeIdentity("other-" + std::to_string(i), 1);
      record.mAddresses.mControl = "10.0.0." + std::to_string(i) + ":1000";
      record.mFailureDomain = "soum-" + std::to_string(i % 3);
      for (int witness = 0; witness < 3; ++witness) {
        record.mWitnesses.push_back(
          MakeIdentity("other-" + std::to_string(witness), 1));
      }
      store.objects.push_back(Stored(
        kNodeKind, record.mIdentity.name, ++mStoreRevision, Serialize(record)));
    }
    store.to_revision = mStoreRevision;
    mLearntRevision = mStoreRevision;
    Feed(store_changed{ store });
  }

  void Feed(const event& aEvent)
  {
    for (const action& action : mMachine.Step(aEvent, mNow)) {
      if (const auto* write = std::get_if<write_object>(&action)) {
        const conditional_write& request = write->mWrite;
        ++mWrites;
        const auto stored =
          Stored(request.mKind, request.mName, ++mStoreRevision, request.mBody);
        Feed(write_finished{ write->mToken, stored });
      }
      const auto* sent = std::get_if<send_message>(&action);
      if (sent != nullptr && sent->mMessage.__isset.vouch) {
        const protocol::vouch_request& request = sent->mMessage.vouch;
        protocol::vouch_reply reply;
        reply.holder = request.holder;
        reply.witness = request.witness;
        reply.round = request.round;
        reply.vouched = true;
        control_message message;
        message.__set_vouched(reply);
        Feed(message_received{ message });
      }
    }
  }

  void RunFor(duration aTime)
  {
    for (const instant end = mNow + aTime; mNow < end;) {
      mNow += milliseconds(50);
      Feed(tick{});
    }
  }

  std::vector<node_identity> Witnesses() const
  {
    return mMachine.View()
      .FindNode(mMachine.LocalMembership().Identity())
      ->mWitnesses;
  }

  node_machine mMachine;
  instant mNow = kStart;
  std::int64_t mStoreRevision = 0;
  std::int64_t mLearntRevision = 0;
  int mWrites = 0;
};

BOOST_AUTO_TEST_SUITE(witnesses_of_nodes_that_start_together)

// All nodes of a cluster start within 0.3 s, and each knows the same few others
// when it joins.
BOOST_AUTO_TEST_CASE(are_spread_over_all_nodes_soon_after)
{
  std::map<std::string, int> holders;
  for (int i = 0; i < 40; ++i) {
    joining_node node("n" + std::to_string(i));
    node.RunFor(milliseconds(500));
    BOOST_REQUIRE(node.mMachine.IsMember());
    node.Learn(3, 60);
    node.RunFor(seconds(4));
    for (const node_identity& witness : node.Witnesses()) {
      ++holders[witness.name];
    }
  }
  int most = 0;
  for (const auto& [name, count] : holders) {
    most = std::max(most, count);
  }
  BOOST_CHECK_LE(most, 10); // of 40; each witness has 2 on average
}

BOOST_AUTO_TEST_CASE(then_stay_while_they_vouch)
{
  joining_node node("n1");
  node.RunFor(milliseconds(500));
  node.Learn(3, 60);
  node.RunFor(seconds(4));
  const auto before = node.Witnesses();
  const int writes = node.mWrites;
  node.Learn(60, 90);
  node.RunFor(seconds(40));
  BOOST_CHECK(node.Witnesses() == before);
  BOOST_CHECK_EQUAL(node.mWrites, writes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(witness_vouching)

BOOST_AUTO_TEST_CASE(refuses_holder_with_outdated_configuration)
{
  witness_node witness;
  BOOST_CHECK(witness.Vouches(1, kStart));
  witness.LearnConfiguration(2, kStart);
  BOOST_CHECK(witness.Vouches(1, kStart + milliseconds(3400)));
  BOOST_CHECK(!witness.Vouches(1, kStart + milliseconds(3600)));
  BOOST_CHECK(witness.Vouches(2, kStart + milliseconds(3700)));
}

BOOST_AUTO_TEST_CASE(stops_after_grace_without_lease)
{
  witness_node witness;
  BOOST_CHECK(witness.Vouches(1, kStart + seconds(20)));
  // The previous step renewed the witness's own lease for one second.
  BOOST_CHECK(witness.Vouches(1, kStart + seconds(50)));
  BOOST_CHECK(!witness.Vouches(1, kStart + seconds(82)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(renewal_by_writes_of_the_record)

// Guards against a lease that other nodes can't see: the store answers a write
// that changes nothing as done.
BOOST_AUTO_TEST_CASE(extends_the_lease_only_with_a_new_revision)
{
  witness_node node;
  BOOST_REQUIRE(node.Machine().IsMember());
  const instant lease_until = node.Machine().LeaseUntil();
  const instant renewed_at = kStart + milliseconds(300);
  const auto renewal = FirstWrite(node.Machine().Step(tick{}, renewed_at));
  BOOST_REQUIRE(renewal.has_value());
  const auto unchanged = Stored(renewal->mWrite.mKind,
                                renewal->mWrite.mName,
                                renewal->mWrite.mBaseRevision,
                                renewal->mWrite.mBody);
  node.Machine().Step(write_finished{ renewal->mToken, unchanged }, renewed_at);
  BOOST_CHECK(node.Machine().LeaseUntil() == lease_until);
}

// Guards against a write that ends the doubt about an earlier one without
// replacing it.
BOOST_AUTO_TEST_CASE(changes_the_record_also_after_a_lost_answer)
{
  witness_node node;
  const instant renewed_at = kStart + milliseconds(300);
  const auto lost = FirstWrite(node.Machine().Step(tick{}, renewed_at));
  BOOST_REQUIRE(lost.has_value());
  const auto after_loss = node.Machine().Step(
    write_finished{ lost->mToken, absl::UnknownError("no answer") },
    renewed_at + seconds(1));
  std::optional<write_object> again;
  for (const action& action : after_loss) {
    if (const auto* read = std::get_if<read_object>(&action)) {
      const auto stored =
        Stored(lost->mWrite.mKind, lost->mWrite.mName, 100, lost->mWrite.mBody);
      again = FirstWrite(node.Machine().Step(
        read_finished{ read->mToken, stored }, renewed_at + seconds(1)));
    }
  }
  BOOST_REQUIRE(again.has_value());
  BOOST_CHECK_EQUAL(again->mWrite.mBaseRevision, 100);
  BOOST_CHECK_NE(again->mWrite.mBody, lost->mWrite.mBody);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_restart)

// The new process may hold keys of the incarnation that ends; once the node has
// joined again, others may own them.
BOOST_AUTO_TEST_CASE(
  node_of_a_restarted_server_joins_after_the_last_grant_has_ended)
{
  witness_node node;
  node.Feed(server_announced{ ServerStartedAt(1) }, kStart);
  BOOST_REQUIRE(node.Machine().IsMember());
  BOOST_CHECK(node.Machine().LocalMembership().GrantBinding().has_value());
  const instant held_until = kStart + milliseconds(900);
  const instant restarted = kStart + milliseconds(100);
  node.Machine().SetGrantsHeldUntil(held_until);
  node.Feed(server_announced{ ServerStartedAt(2) }, restarted);
  BOOST_CHECK(!node.Machine().IsMember());
  BOOST_CHECK(!node.Machine().LocalMembership().GrantBinding().has_value());
  node.Feed(tick{}, kStart + milliseconds(800));
  BOOST_CHECK(!node.Machine().IsMember());
  node.Feed(tick{}, held_until);
  BOOST_CHECK(node.Machine().IsMember());
  const auto binding = node.Machine().LocalMembership().GrantBinding();
  BOOST_REQUIRE(binding.has_value());
  BOOST_CHECK_EQUAL(binding->Server().mStartedAt, 2);
}

// The server of a node without tokens for its connections is alive and holds
// its keys.
BOOST_AUTO_TEST_CASE(
  node_that_asks_for_a_new_incarnation_joins_after_the_last_grant_has_ended)
{
  witness_node node;
  node.Feed(server_announced{ ServerStartedAt(1) }, kStart);
  const instant held_until = kStart + milliseconds(900);
  node.Machine().SetGrantsHeldUntil(held_until);
  node.Feed(rejoin_requested{}, kStart + milliseconds(100));
  node.Feed(tick{}, kStart + milliseconds(800));
  BOOST_CHECK(!node.Machine().IsMember());
  node.Feed(tick{}, held_until);
  BOOST_CHECK(node.Machine().IsMember());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(start_under_the_record_of_a_former_process)

// The server in the record that a new process of the node joins with, if it has
// heard `aAnnounced` first and the former process had recorded `aFormer`.
std::optional<announced_server>
ServerJoinedWith(const std::optional<announced_server>& aAnnounced,
                 const announced_server& aFormer)
{
  node_machine machine({ "w", "w", "", "soum-1", {} }, lease_timing(), 1);
  if (aAnnounced) {
    machine.Step(server_announced{ aAnnounced }, kStart);
  }
  node_record former;
  former.mIdentity = MakeIdentity("w", 1);
  former.mServer = aFormer;
  object_delta store;
  store.to_revision = 3;
  store.objects = { Configuration(1, 2),
                    Stored(kNodeKind, "w", 3, Serialize(former)) };
  const auto join = FirstWrite(machine.Step(store_changed{ store }, kStart));
  BOOST_REQUIRE(join.has_value());
  const auto record =
    ParseNodeRecord(Stored(kNodeKind, "w", 4, join->mWrite.mBody));
  BOOST_REQUIRE(record.ok());
  BOOST_CHECK_EQUAL(record->mIdentity.incarnation, 2);
  BOOST_CHECK(machine.LocalMembership().FormerServer() == aFormer);
  return record->mServer;
}

// Guards against the use of a server that has left: the join replaces the only
// record of it.
BOOST_AUTO_TEST_CASE(keeps_that_the_server_leaves)
{
  announced_server leaving = ServerStartedAt(1);
  leaving.mIsLeaving = true;
  BOOST_CHECK(ServerJoinedWith(std::nullopt, leaving) == leaving);
  BOOST_CHECK(ServerJoinedWith(ServerStartedAt(1), leaving) == leaving);
  const announced_server restarted = ServerStartedAt(2);
  BOOST_CHECK(ServerJoinedWith(restarted, leaving) == restarted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(node_shutdown)

BOOST_AUTO_TEST_CASE(finishes_without_store_before_joining)
{
  node_machine machine({ "w", "w", "", "soum-1", {} }, lease_timing(), 1);
  machine.Step(tick{}, kStart);
  BOOST_CHECK(!machine.IsFinished());
  machine.Step(drain_requested{}, kStart + seconds(1));
  BOOST_CHECK(machine.IsFinished());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(servers_that_end_under_a_request)

// A node that knows one peer.
class node_with_peer
{
public:
  node_with_peer()
    : mMachine({ "w", "w", "", "soum-1", {} }, lease_timing(), 1)
  {
    node_record peer;
    peer.mIdentity = MakeIdentity("x", 1);
    peer.mAddresses.mControl = "10.0.0.2:1000";
    object_delta store;
    store.to_revision = 3;
    store.objects = { Configuration(1, 2),
                      Stored(kNodeKind, "x", 3, Serialize(peer)) };
    mMachine.Step(store_changed{ store }, kStart);
  }

  // The messages to the peer that the event leads to.
  std::vector<control_message> Feed(const event& aEvent, instant aNow)
  {
    std::vector<control_message> messages;
    for (const action& action : mMachine.Step(aEvent, aNow)) {
      if (const auto* sent = std::get_if<send_message>(&action)) {
        BOOST_CHECK_EQUAL(sent->mAddress, "10.0.0.2:1000");
        messages.push_back(sent->mMessage);
      }
    }
    return messages;
  }

  node_machine mMachine;
};

server_ended
EndAt(instant aEndedAt)
{
  server_ended ended;
  ended.mEnd.mService = "inventory";
  ended.mEnd.mInstance = "i-1";
  ended.mEnd.mStartedAt = ToMicros(aEndedAt);
  ended.mEnd.mEndedAt = aEndedAt;
  ended.mEnd.mRuns = { { { 1, 1 }, "/stock/7", "attempt", aEndedAt } };
  return ended;
}

BOOST_AUTO_TEST_CASE(reach_a_peer_that_does_not_know_them)
{
  node_with_peer node;
  const auto told = node.Feed(EndAt(kStart), kStart);
  BOOST_REQUIRE_EQUAL(told.size(), 1u);
  BOOST_REQUIRE(told[0].__isset.crashes);
  BOOST_CHECK_EQUAL(told[0].crashes.size(), 1u);
  // A process that has not joined yet asks by its digest.
  protocol::digest digest;
  digest.sender = MakeIdentity("x", 0);
  digest.address = "10.0.0.2:1000";
  digest.revision = 3;
  digest.config_number = 1;
  control_message asked;
  asked.__set_known(digest);
  const auto answered =
    node.Feed(message_received{ asked }, kStart + milliseconds(1));
  BOOST_REQUIRE_EQUAL(answered.size(), 2u);
  BOOST_CHECK(answered[0].__isset.crashes);
  BOOST_REQUIRE(answered[1].__isset.known);
  BOOST_CHECK_EQUAL(answered[1].known.crashes_hash,
                    node.mMachine.CrashControl().Ledger().Hash());
  BOOST_CHECK_NE(answered[1].known.crashes_hash, 0);
  // At once again, it isn't answered.
  BOOST_CHECK(
    node.Feed(message_received{ asked }, kStart + milliseconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(have_the_request_refused_until_it_is_lifted)
{
  node_with_peer node;
  const crash_ledger& ledger = node.mMachine.CrashControl().Ledger();
  for (int end = 0; end < 3; ++end) {
    const instant at = kStart + seconds(end);
    node.Feed(EndAt(at), at);
  }
  const instant now = kStart + seconds(3);
  BOOST_CHECK(ledger.Verdicts().IsRefused({ 1, 1 }, now));
  node.Feed(refusal_lifted{ { 1, 1 } }, now);
  BOOST_CHECK(!ledger.Verdicts().IsRefused({ 1, 1 }, now));
}

BOOST_AUTO_TEST_CASE(cost_no_message_while_there_are_none)
{
  node_with_peer node;
  protocol::digest digest;
  digest.sender = MakeIdentity("x", 1);
  digest.address = "10.0.0.2:1000";
  digest.revision = 3;
  digest.config_number = 1;
  control_message received;
  received.__set_known(digest);
  BOOST_CHECK(
    node.Feed(message_received{ received }, kStart + milliseconds(1)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(evacuation_of_the_failure_domain)

stored_object
KeyedConfiguration()
{
  cluster_configuration configuration;
  configuration.mNumber = 1;
  configuration.mDocument =
    R"({"services":{"board":{"key":{"header":"Key"},"shards":2}}})";
  return Stored(kConfigurationKind,
                std::string(kConfigurationName),
                2,
                Serialize(configuration));
}

// A member in soum-1 that owns both shards of its service, beside a node in
// soum-2.
class owner_node
{
public:
  explicit owner_node(bool aHasOther)
    : mMachine({ .mProcess = "w",
                 .mName = "w",
                 .mRegion = "",
                 .mFailureDomain = "soum-1",
                 .mAddresses = {},
                 .mAwaitsEvacuations = true },
               lease_timing(),
               1)
  {
    node_record other;
    other.mIdentity = MakeIdentity("x", 1);
    other.mFailureDomain = "soum-2";
    if (aHasOther) {
      other.mServer = ServerStartedAt(1);
    }
    Learn({ KeyedConfiguration(),
            Stored(kNodeKind, "x", mRevision + 1, Serialize(other)) });
    Step(server_announced{ ServerStartedAt(1) });
    shard_page page = MakeEmptyPage("board", 0, 2);
    for (shard_entry& entry : page.mEntries) {
      entry = { mMachine.LocalMembership().Identity(), 1 };
    }
    Learn({ Stored(
      kShardPageKind, PageName("board", 0), mRevision + 1, Serialize(page)) });
  }

  void Learn(std::vector<stored_object> aObjects)
  {
    object_delta delta;
    delta.from_revision = mMachine.View().Revision();
    delta.to_revision = ++mRevision;
    delta.objects = std::move(aObjects);
    Step(store_changed{ delta });
  }
  // A peer tells of the evacuations.
  void Hear(std::int64_t aRevision, std::vector<std::string> aDomains)
  {
    protocol::digest digest;
    digest.evacuations_revision = aRevision;
    digest.evacuated_domains = std::move(aDomains);
    control_message message;
    message.__set_known(digest);
    Step(message_received{ message });
  }
  void Step(const event& aEvent)
  {
    mNow += milliseconds(30);
    for (const action& action : mMachine.Step(aEvent, mNow)) {
      if (const auto* write = std::get_if<write_object>(&action)) {
        const conditional_write& request = write->mWrite;
        Step(write_finished{
          write->mToken,
          Stored(request.mKind, request.mName, ++mRevision, request.mBody) });
      }
      if (const auto* close = std::get_if<close_shard>(&action)) {
        mClosed.insert(close->mShard);
      }
    }
  }

  node_machine mMachine;
  instant mNow = kStart;
  std::int64_t mRevision = 10;
  std::set<shard_id> mClosed;
};

BOOST_AUTO_TEST_CASE(hands_all_shards_to_nodes_of_other_domains)
{
  owner_node node(true);
  BOOST_REQUIRE(node.mMachine.IsMember());
  BOOST_CHECK(node.mClosed.empty());
  node.Hear(20, { "soum-1" });
  BOOST_CHECK(node.mMachine.IsEvacuated());
  BOOST_CHECK_EQUAL(node.mClosed.size(), 2u);
}

BOOST_AUTO_TEST_CASE(keeps_shards_that_no_other_node_takes)
{
  owner_node node(false);
  node.Hear(20, { "soum-1" });
  BOOST_CHECK(node.mClosed.empty());
  node.Hear(21, {});
  BOOST_CHECK(!node.mMachine.IsEvacuated());
  BOOST_CHECK_EQUAL(
    node.mMachine.ShardManager().OwnedShards(
      node.mMachine.View(), node.mMachine.LocalMembership().Identity()),
    2);
}

BOOST_AUTO_TEST_CASE(of_other_nodes_leaves_shards_here)
{
  owner_node node(true);
  node.Hear(20, { "soum-2" });
  BOOST_CHECK(!node.mMachine.IsEvacuated());
  BOOST_CHECK(node.mClosed.empty());
}

BOOST_AUTO_TEST_CASE(must_be_known_before_a_new_process_serves)
{
  owner_node node(true);
  BOOST_CHECK(!node.mMachine.KnowsEvacuations());
  BOOST_TEST_CONTEXT("a peer that does not know either doesn't help")
  {
    node.Hear(0, {});
    BOOST_CHECK(!node.mMachine.KnowsEvacuations());
  }
  node.Hear(20, {});
  BOOST_CHECK(node.mMachine.KnowsEvacuations());
  BOOST_TEST_CONTEXT("an installation without evacuations needs no list")
  {
    const node_machine without(
      { "w", "w", "", "soum-1", {} }, lease_timing(), 1);
    BOOST_CHECK(without.KnowsEvacuations());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
