#include "plantaindale/crashes/crash_control.h"

#include <deque>
#include <optional>
#include <random>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const instant kStart{ std::chrono::hours(100) };
const request_fingerprint kDeadly{ 1, 1 };
constexpr duration kDigestInterval = milliseconds(500);
constexpr std::size_t kFirstPort = 1000;
constexpr duration kTransferTime = milliseconds(5);

// The crash controls of some nodes, whose messages the test delivers.
class connected_nodes
{
public:
  // Nodes alternate between `aDomains` failure domains.
  connected_nodes(std::size_t aCount, std::size_t aDomains)
  {
    object_delta store;
    store.to_revision = static_cast<std::int64_t>(aCount);
    for (std::size_t node = 0; node < aCount; ++node) {
      const std::string name = Name(node);
      const std::string domain = "d" + std::to_string(node % aDomains);
      node_record record;
      record.mIdentity = MakeIdentity(name, 1);
      record.mFailureDomain = domain;
      record.mAddresses.mControl = Address(node);
      stored_object object;
      object.kind = std::string(kNodeKind);
      object.name = name;
      object.revision = static_cast<std::int64_t>(node) + 1;
      object.body = Serialize(record);
      store.objects.push_back(std::move(object));
      mControls.emplace_back(name, domain, node);
    }
    mView.Apply(store, mNow);
    BOOST_REQUIRE_EQUAL(mView.Nodes().size(), aCount);
  }

  static std::string Name(std::size_t aNode)
  {
    return "n" + std::to_string(aNode);
  }
  static std::string Address(std::size_t aNode)
  {
    return "10.0.0.1:" + std::to_string(kFirstPort + aNode);
  }
  crash_control& At(std::size_t aNode) { return mControls[aNode]; }
  instant Now() const { return mNow; }
  std::int64_t Messages() const { return mMessages; }
  void SetLoss(double aLoss) { mLoss = aLoss; }
  // Nodes from `aFirst` on can't reach the others; none: all are in touch.
  void Cut(std::optional<std::size_t> aFirst) { mFirstCutOff = aFirst; }
  void Replace(std::size_t aNode)
  {
    mControls[aNode] = crash_control(Name(aNode), "d0", 100 + aNode);
  }

  // Ends a server of the node under the deadly request.
  void EndServer(std::size_t aNode)
  {
    server_end end;
    end.mService = "inventory";
    end.mInstance = "i-" + std::to_string(++mServers);
    end.mStartedAt = mServers;
    end.mEndedAt = mNow;
    end.mRuns.push_back(
      { kDeadly, "/stock/7", "attempt", mNow - milliseconds(30) });
    Feed(aNode, server_ended{ end });
  }

  template<class event_type>
  void Feed(std::size_t aNode, const event_type& aEvent)
  {
    action_list actions(mNextToken);
    At(aNode).OnEvent(aEvent, mNow, mView, actions);
    Queue(aNode, actions);
    Deliver();
  }

  // Sends digests of each node to one random other node.
  void ExchangeDigests()
  {
    mNow += kDigestInterval;
    for (std::size_t node = 0; node < mControls.size(); ++node) {
      action_list actions(mNextToken);
      At(node).Step(mNow, unix_time(0), mView, actions);
      std::uniform_int_distribution<std::size_t> distance(1,
                                                          mControls.size() - 1);
      SendDigest(node, (node + distance(mRandom)) % mControls.size(), actions);
      Queue(node, actions);
    }
    Deliver();
  }

  void SendDigest(std::size_t aFrom, std::size_t aTo, action_list& aActions)
  {
    protocol::digest digest;
    digest.sender = MakeIdentity(Name(aFrom), 1);
    digest.address = Address(aFrom);
    digest.crashes_hash = At(aFrom).Ledger().Hash();
    control_message message;
    message.__set_known(digest);
    aActions.Send(Address(aTo), message);
  }

  std::size_t Refusing()
  {
    std::size_t refusing = 0;
    for (crash_control& control : mControls) {
      refusing += control.Ledger().Verdicts().IsRefused(kDeadly, mNow) ? 1 : 0;
    }
    return refusing;
  }

  bool AgreeAll()
  {
    return std::all_of(
      mControls.begin(), mControls.end(), [&](const crash_control& aControl) {
        return aControl.Ledger().Hash() == mControls.front().Ledger().Hash();
      });
  }

  // Exchanges of digests until all agree; none after 20.
  std::optional<int> ExchangesUntilAgreed()
  {
    for (int exchanges = 0; exchanges < 20; ++exchanges) {
      if (AgreeAll()) {
        return exchanges;
      }
      ExchangeDigests();
    }
    return std::nullopt;
  }

  std::vector<log_event_action> mLogged;

private:
  struct queued
  {
    std::size_t mFrom;
    std::size_t mTo;
    control_message mMessage;
  };

  void Queue(std::size_t aFrom, action_list& aActions)
  {
    for (const action& next : aActions.TakeActions()) {
      if (const auto* sent = std::get_if<send_message>(&next)) {
        const std::string port =
          sent->mAddress.substr(sent->mAddress.find(':') + 1);
        const std::size_t to = std::stoul(port) - kFirstPort;
        mQueue.push_back({ aFrom, to, sent->mMessage });
      } else if (const auto* logged = std::get_if<log_event_action>(&next)) {
        mLogged.push_back(*logged);
      }
    }
  }

  void Deliver()
  {
    std::uniform_real_distribution<double> chance(0, 1);
    while (!mQueue.empty()) {
      BOOST_REQUIRE_LT(mQueue.size(), 10'000u);
      const queued next = std::move(mQueue.front());
      mQueue.pop_front();
      ++mMessages;
      const bool is_cut = mFirstCutOff && (next.mFrom < *mFirstCutOff) !=
                                            (next.mTo < *mFirstCutOff);
      if (is_cut || chance(mRandom) < mLoss) {
        continue;
      }
      action_list actions(mNextToken);
      const instant now = mNow + kTransferTime;
      if (next.mMessage.__isset.crashes) {
        At(next.mTo).OnRecords(next.mMessage.crashes, now, mView, actions);
      } else if (At(next.mTo).OnDigest(next.mMessage.known, now, actions)) {
        SendDigest(next.mTo, next.mFrom, actions);
      }
      Queue(next.mTo, actions);
    }
  }

  instant mNow = kStart;
  cluster_view mView;
  std::deque<crash_control> mControls;
  std::deque<queued> mQueue;
  std::mt19937 mRandom{ 5 };
  double mLoss = 0;
  std::optional<std::size_t> mFirstCutOff;
  std::int64_t mMessages = 0;
  std::int64_t mNextToken = 1;
  int mServers = 0;
};

BOOST_AUTO_TEST_SUITE(spreading_of_server_ends)

BOOST_AUTO_TEST_SUITE(all_nodes_in_touch)

BOOST_AUTO_TEST_CASE(a_small_cluster_refuses_without_any_digest)
{
  connected_nodes nodes(9, 3);
  for (const std::size_t node : { 0, 4, 8 }) {
    nodes.EndServer(node);
  }
  // Overlapping runs count once.
  BOOST_CHECK_EQUAL(nodes.Refusing(), 0u);
  for (const std::size_t node : { 1, 5 }) {
    nodes.ExchangeDigests();
    nodes.EndServer(node);
  }
  BOOST_CHECK_EQUAL(nodes.Refusing(), 9u);
}

BOOST_AUTO_TEST_CASE(a_large_cluster_agrees_within_three_exchanges)
{
  connected_nodes nodes(120, 3);
  for (const std::size_t node : { 0, 40, 80 }) {
    nodes.EndServer(node);
    nodes.ExchangeDigests();
  }
  const auto exchanges = nodes.ExchangesUntilAgreed();
  BOOST_REQUIRE(exchanges);
  BOOST_CHECK_LE(*exchanges, 3);
  BOOST_CHECK_EQUAL(nodes.Refusing(), 120u);
}

BOOST_AUTO_TEST_CASE(nothing_but_digests_is_sent_once_all_agree)
{
  connected_nodes nodes(12, 2);
  for (int end = 0; end < 3; ++end) {
    nodes.EndServer(0);
    nodes.ExchangeDigests();
  }
  BOOST_REQUIRE(nodes.ExchangesUntilAgreed());
  const std::int64_t before = nodes.Messages();
  nodes.ExchangeDigests();
  BOOST_CHECK_EQUAL(nodes.Messages() - before, 12);
}

BOOST_AUTO_TEST_CASE(a_complete_run_and_a_lift_reach_all)
{
  connected_nodes nodes(9, 3);
  for (int end = 0; end < 3; ++end) {
    nodes.ExchangeDigests();
    nodes.EndServer(0);
  }
  BOOST_CHECK_EQUAL(nodes.Refusing(), 9u);
  nodes.Feed(4, refusal_lifted{ kDeadly });
  BOOST_REQUIRE(nodes.ExchangesUntilAgreed());
  BOOST_CHECK_EQUAL(nodes.Refusing(), 0u);
  nodes.EndServer(1);
  nodes.ExchangeDigests();
  BOOST_CHECK_EQUAL(nodes.At(2).Ledger().Standings().size(), 1u);
  nodes.Feed(7, suspect_completed{ kDeadly });
  BOOST_REQUIRE(nodes.ExchangesUntilAgreed());
  BOOST_CHECK(nodes.At(2).Ledger().Standings().empty());
}

BOOST_AUTO_TEST_CASE(each_node_logs_a_verdict_and_its_lapse_once)
{
  connected_nodes nodes(4, 2);
  for (int end = 0; end < 3; ++end) {
    nodes.ExchangeDigests();
    nodes.EndServer(0);
  }
  for (int exchange = 0; exchange < 2 * 60 * 11; ++exchange) {
    nodes.ExchangeDigests();
  }
  const auto count = [&](std::string_view aEvent) {
    return std::count_if(
      nodes.mLogged.begin(), nodes.mLogged.end(), [&](const auto& aLine) {
        return aLine.mEvent == aEvent;
      });
  };
  BOOST_CHECK_EQUAL(count("server_ended"), 3);
  BOOST_CHECK_EQUAL(count("crashing_request_refused"), 4);
  BOOST_CHECK_EQUAL(count("crashing_request_allowed"), 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages_are_lost)

BOOST_AUTO_TEST_CASE(digests_deliver_what_was_lost)
{
  connected_nodes nodes(30, 3);
  nodes.SetLoss(0.4);
  for (const std::size_t node : { 0, 10, 20 }) {
    nodes.EndServer(node);
    nodes.ExchangeDigests();
  }
  const auto exchanges = nodes.ExchangesUntilAgreed();
  BOOST_REQUIRE(exchanges);
  BOOST_CHECK_LE(*exchanges, 6);
  BOOST_CHECK_EQUAL(nodes.Refusing(), 30u);
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_later_learns_by_its_first_digest)
{
  connected_nodes nodes(9, 3);
  for (int end = 0; end < 3; ++end) {
    nodes.ExchangeDigests();
    nodes.EndServer(1);
  }
  nodes.Replace(0);
  BOOST_CHECK_EQUAL(nodes.Refusing(), 8u);
  nodes.ExchangeDigests();
  BOOST_CHECK_EQUAL(nodes.Refusing(), 9u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_nodes_are_cut_in_two)

BOOST_AUTO_TEST_CASE(each_half_decides_alone_and_both_agree_afterwards)
{
  connected_nodes nodes(20, 2);
  nodes.Cut(10);
  for (int end = 0; end < 3; ++end) {
    nodes.EndServer(0);
    nodes.ExchangeDigests();
  }
  nodes.EndServer(15);
  for (int exchange = 0; exchange < 6; ++exchange) {
    nodes.ExchangeDigests();
  }
  BOOST_CHECK_EQUAL(nodes.Refusing(), 10u);
  BOOST_CHECK(!nodes.AgreeAll());
  nodes.Cut(std::nullopt);
  const auto exchanges = nodes.ExchangesUntilAgreed();
  BOOST_REQUIRE(exchanges);
  BOOST_CHECK_LE(*exchanges, 4);
  BOOST_CHECK_EQUAL(nodes.Refusing(), 20u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages_are_bounded)

BOOST_AUTO_TEST_CASE(many_records_are_split)
{
  crash_ledger ledger;
  for (int end = 0; end < 4; ++end) {
    server_end many;
    many.mInstance = std::string(100, 'i') + std::to_string(end);
    many.mStartedAt = end;
    many.mEndedAt = kStart + seconds(end);
    for (std::uint64_t i = 0; i < 250; ++i) {
      many.mRuns.push_back(
        { { 9, i }, std::string(200, 't'), "", many.mEndedAt });
    }
    ledger.OnServerEnded(many, many.mEndedAt);
  }
  std::int64_t token = 1;
  action_list actions(token);
  crash_gossip::Send("n1", ledger.Records(kStart + seconds(4)), actions);
  crash_ledger receiver;
  std::size_t messages = 0;
  for (const action& next : actions.TakeActions()) {
    const auto& records = std::get<send_message>(next).mMessage.crashes;
    BOOST_CHECK_LT(records.size(), 200u);
    receiver.Merge(records, kStart + seconds(4));
    ++messages;
  }
  BOOST_CHECK_GT(messages, 1u);
  BOOST_CHECK_EQUAL(receiver.Hash(), ledger.Hash());
}

BOOST_AUTO_TEST_CASE(announcements_without_a_sender_start_no_exchange)
{
  connected_nodes nodes(2, 1);
  nodes.EndServer(0);
  std::int64_t token = 1;
  action_list actions(token);
  protocol::digest announcement;
  announcement.address = "n1";
  BOOST_CHECK(!nodes.At(0).OnDigest(announcement, nodes.Now(), actions));
  announcement.sender.name = "n1";
  announcement.cannot_watch = true; // a notice to standby watchers
  BOOST_CHECK(!nodes.At(0).OnDigest(announcement, nodes.Now(), actions));
  BOOST_CHECK(actions.TakeActions().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
