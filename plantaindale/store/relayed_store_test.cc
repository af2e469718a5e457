#include "plantaindale/store/relayed_store.h"

#include "plantaindale/store/conflict.h"
#include <boost/fiber/fiber.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

// A store that answers as it is told to.
class scripted_store : public object_store
{
public:
  absl::StatusOr<object_delta> List() override { return object_delta(); }
  absl::StatusOr<object_delta> Watch(std::int64_t) override
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

// A node, and a peer whose way to the store is open.
struct two_nodes
{
  two_nodes()
    : mPeer(mPeersStore, {})
    , mNode(mOwnStore,
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

  scripted_store mOwnStore;
  scripted_store mPeersStore;
  std::string mPeerAddress = "peer";
  relayed_store mPeer;
  relayed_store mNode;
};

const conditional_write kWrite{ "node", "n1", 3, "{}" };

BOOST_AUTO_TEST_SUITE(a_node_that_the_store_turns_away)

BOOST_AUTO_TEST_CASE(writes_through_a_peer)
{
  two_nodes nodes;
  nodes.mOwnStore.mStatus = absl::UnavailableError("503");
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  BOOST_CHECK_EQUAL(nodes.mPeersStore.mCalls, 1);
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  BOOST_CHECK_EQUAL(nodes.mOwnStore.mCalls, 1); // not asked again at once
}

BOOST_AUTO_TEST_CASE(reads_through_a_peer)
{
  two_nodes nodes;
  nodes.mOwnStore.mStatus = absl::UnknownError("silence");
  BOOST_CHECK(nodes.mNode.Get("node", "n1").ok());
}

BOOST_AUTO_TEST_CASE(never_sends_a_write_again_that_may_have_taken_effect)
{
  two_nodes nodes;
  nodes.mOwnStore.mStatus = absl::UnknownError("silence");
  BOOST_CHECK(absl::IsUnknown(nodes.mNode.Write(kWrite).status()));
  BOOST_CHECK_EQUAL(nodes.mPeersStore.mCalls, 0);
}

BOOST_AUTO_TEST_CASE(hears_of_a_conflict_as_from_the_store)
{
  two_nodes nodes;
  nodes.mOwnStore.mStatus = absl::UnavailableError("503");
  stored_object current;
  current.name = "n1";
  current.revision = 4;
  nodes.mPeersStore.mStatus =
    WithCurrentObject(absl::AbortedError("409"), current);
  const absl::Status refused = nodes.mNode.Write(kWrite).status();
  BOOST_CHECK(absl::IsAborted(refused));
  BOOST_REQUIRE(CurrentObject(refused).has_value());
  BOOST_CHECK_EQUAL(CurrentObject(refused)->revision, 4);
  BOOST_CHECK(!CurrentObject(absl::AbortedError("409")).has_value());
}

BOOST_AUTO_TEST_CASE(without_a_peer_knows_that_nothing_was_done)
{
  two_nodes nodes;
  nodes.mPeerAddress = "";
  nodes.mOwnStore.mStatus = absl::UnavailableError("503");
  BOOST_CHECK(absl::IsUnavailable(nodes.mNode.Write(kWrite).status()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_the_store_serves)

BOOST_AUTO_TEST_CASE(asks_nobody_else)
{
  two_nodes nodes;
  BOOST_CHECK(nodes.mNode.Write(kWrite).ok());
  nodes.mOwnStore.mStatus = absl::AbortedError("409");
  BOOST_CHECK(absl::IsAborted(nodes.mNode.Write(kWrite).status()));
  BOOST_CHECK_EQUAL(nodes.mPeersStore.mCalls, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
