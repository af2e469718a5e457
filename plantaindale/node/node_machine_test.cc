#include "plantaindale/node/node_machine.h"
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

// A member that vouches for the node x.
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

  // Answers its writes as the platform would; returns its last vouch reply.
  std::optional<protocol::vouch_reply> Feed(const event& aEvent, instant aNow)
  {
    std::optional<protocol::vouch_reply> reply;
    for (const action& action : mMachine.Step(aEvent, aNow)) {
      if (const auto* write = std::get_if<write_object>(&action)) {
        const conditional_write& wanted = write->mWrite;
        const auto stored =
          Stored(wanted.mKind, wanted.mName, ++mRevision, wanted.mBody);
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

private:
  node_machine mMachine;
  std::int64_t mRevision = 10;
};

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
  // Its lease was renewed with that step, and lasted a second.
  BOOST_CHECK(witness.Vouches(1, kStart + seconds(50)));
  BOOST_CHECK(!witness.Vouches(1, kStart + seconds(82)));
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

} // namespace
} // namespace plantaindale
