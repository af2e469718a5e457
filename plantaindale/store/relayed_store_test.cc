#include "plantaindale/store/relayed_store.h"

#include "plantaindale/store/write_conflict.h"
#include <boost/fiber/fiber.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

// Answers every call with the status that the test has set, and counts calls.
class scripted_store : public object_store
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
    return Answer();
  }
  absl::StatusOr<stored_object> Write(const conditional_write&) override
  {
    return Answer();
  }

  absl::Status mStatus;
  int mCalls = 0;

private:
  absl::StatusOr<stored_object> Answer()
  {
    ++mCalls;
    if (!mStatus.ok()) {
      return mStatus;
    }
    stored_object object;
    object.name = "answered";
    return object;
  }
};

// A node and the peer that relays its calls; each has a store of its own.
struct relay_fixture
{
  relay_fixture()
    : mPeer(mPeerStore, {})
    , mNode(mLocalStore,
            { [this] { return mPeerAddress; },
              [this](const std::string&,
                     const protocol::control_message& aMessage) {
                boost::fibers::fiber([this, call = aMessage.ask_store] {
                  mNode.OnResult(mPeer.Serve(call));
                }).detach();
              },
              "here" })
  {
  }

  scripted_store mLocalStore;
  scripted_store mPeerStore;
  std::string mPeerAddress = "peer";
  relayed_store mPeer;
  relayed_store mNode;
};

const conditional_write kWrite{ "node", "n1", 3, "{}" };

BOOST_AUTO_TEST_SUITE(relayed_store_while_store_is_unreachable)

BOOST_AUTO_TEST_CASE(relays_writes_through_peer)
{
  relay_fixture nodes;
  nodes.mLocalStore.mStatus = absl::UnavailableError("503");
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  BOOST_CHECK_EQUAL(nodes.mPeerStore.mCalls, 1);
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  BOOST_CHECK_EQUAL(nodes.mLocalStore.mCalls, 1); // circuit is open
}

BOOST_AUTO_TEST_CASE(relays_reads_through_peer)
{
  relay_fixture nodes;
  nodes.mLocalStore.mStatus = absl::UnknownError("silence");
  BOOST_CHECK(nodes.mNode.Get("node", "n1").ok());
}

BOOST_AUTO_TEST_CASE(does_not_resend_write_with_unknown_outcome)
{
  relay_fixture nodes;
  nodes.mLocalStore.mStatus = absl::UnknownError("silence");
  BOOST_CHECK(absl::IsUnknown(nodes.mNode.Write(kWrite).status()));
  BOOST_CHECK_EQUAL(nodes.mPeerStore.mCalls, 0);
}

BOOST_AUTO_TEST_CASE(returns_conflict_received_from_peer)
{
  relay_fixture nodes;
  nodes.mLocalStore.mStatus = absl::UnavailableError("503");
  stored_object current;
  current.name = "n1";
  current.revision = 4;
  nodes.mPeerStore.mStatus =
    WithCurrentObject(absl::AbortedError("409"), current);
  const absl::Status refused = nodes.mNode.Write(kWrite).status();
  BOOST_CHECK(absl::IsAborted(refused));
  BOOST_REQUIRE(CurrentObject(refused).has_value());
  BOOST_CHECK_EQUAL(CurrentObject(refused)->revision, 4);
  BOOST_CHECK(!CurrentObject(absl::AbortedError("409")).has_value());
}

// Guards against a write that counts as done though it was never made: the peer
// answers a call of a former process at the same address.
BOOST_AUTO_TEST_CASE(ignores_the_answer_to_a_call_of_a_former_process)
{
  scripted_store unreachable;
  unreachable.mStatus = absl::UnavailableError("503");
  std::vector<std::int64_t> calls;
  protocol::store_result late;
  const auto make_peers = [&](relayed_store*& aStore, std::int64_t aFirst) {
    return relay_peers{ [] { return "peer"; },
                        [&](const std::string&,
                            const protocol::control_message& aMessage) {
                          calls.push_back(aMessage.ask_store.call_id);
                          late.call_id = calls.front();
                          aStore->OnResult(late);
                        },
                        "here",
                        aFirst };
  };
  relayed_store* former = nullptr;
  relayed_store former_store(unreachable, make_peers(former, 1000));
  former = &former_store;
  BOOST_CHECK(former_store.Write(kWrite).ok());
  relayed_store* present = nullptr;
  relayed_store present_store(unreachable, make_peers(present, 2000));
  present = &present_store;
  BOOST_CHECK(absl::IsUnknown(present_store.Write(kWrite).status()));
  BOOST_CHECK(calls == std::vector<std::int64_t>({ 1000, 2000 }));
}

BOOST_AUTO_TEST_CASE(returns_unavailable_without_peer)
{
  relay_fixture nodes;
  nodes.mPeerAddress = "";
  nodes.mLocalStore.mStatus = absl::UnavailableError("503");
  BOOST_CHECK(absl::IsUnavailable(nodes.mNode.Write(kWrite).status()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(relayed_store_while_store_is_reachable)

BOOST_AUTO_TEST_CASE(does_not_relay)
{
  relay_fixture nodes;
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  nodes.mLocalStore.mStatus = absl::AbortedError("409");
  BOOST_CHECK(absl::IsAborted(nodes.mNode.Write(kWrite).status()));
  BOOST_CHECK_EQUAL(nodes.mPeerStore.mCalls, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
