// Restarts a node beside a running backend server, which announces itself as
// ready all the while.
#include <thread>

#include "plantaindale/net/http_call.h"
#include "sessions/process_cluster.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNode = 1;

process_cluster_settings
SettingsOfThreeNodes(int aBasePort)
{
  process_cluster_settings settings = MakeTestSettings(aBasePort);
  settings.mNodes = 3;
  return settings;
}

std::optional<node_record>
RecordOf(const process_cluster& aCluster)
{
  const auto view = aCluster.View();
  const node_record* record = view.ok() ? view->FindNode("n1") : nullptr;
  return record == nullptr ? std::nullopt : std::optional(*record);
}

// Waits up to 10 s.
template<class condition_type>
bool
AwaitRecord(const process_cluster& aCluster, condition_type aCondition)
{
  const instant end = boot_clock::now() + seconds(10);
  while (boot_clock::now() < end) {
    const auto record = RecordOf(aCluster);
    if (record && aCondition(*record)) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

bool
IsLeaving(const node_record& aRecord)
{
  return aRecord.mServer && aRecord.mServer->mIsLeaving;
}

bool
AnnounceLeaving(const process_cluster& aCluster,
                const announced_server& aServer)
{
  const std::string body = boost::json::serialize(
    boost::json::object{ { "service", aServer.mService },
                         { "address", aServer.mAddress },
                         { "slots", aServer.mSlots },
                         { "connections", aServer.mConnections },
                         { "checks_fences", aServer.mChecksFences },
                         { "keeps_grants", aServer.mKeepsGrants },
                         { "instance", aServer.mInstance },
                         { "started_at", aServer.mStartedAt },
                         { "leaving", true } });
  const auto answer = HttpCallBlocking(
    { aCluster.AdminAddress(kNode), "POST", "/announce", body, seconds(1) });
  return answer.ok() && answer->mStatus == 200;
}

// Three nodes; the node has confirmed that its server leaves.
struct cluster_with_leaving_server
{
  explicit cluster_with_leaving_server(int aBasePort)
    : mCluster(SettingsOfThreeNodes(aBasePort))
  {
    BOOST_REQUIRE(mCluster.AwaitServed());
    const auto record = RecordOf(mCluster);
    BOOST_REQUIRE(record && record->mServer);
    mIncarnation = record->mIdentity.incarnation;
    BOOST_REQUIRE(AnnounceLeaving(mCluster, *record->mServer));
  }

  process_cluster mCluster;
  std::int64_t mIncarnation = 0; // of the node
};

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(restarted_node_beside_its_server)

// Guards against the use of a server that has left: an announcement of the
// server from before it left reaches the new process of the node.
BOOST_AUTO_TEST_CASE(does_not_use_a_server_again_that_has_left)
{
  cluster_with_leaving_server fixture(32600);
  process_cluster& cluster = fixture.mCluster;
  BOOST_REQUIRE(AwaitRecord(cluster, IsLeaving));
  cluster.KillNode(kNode);
  cluster.StartVm(kNode);
  BOOST_REQUIRE(AwaitRecord(cluster, [&](const node_record& aRecord) {
    return aRecord.mIdentity.incarnation > fixture.mIncarnation &&
           aRecord.IsActive();
  }));
  const instant end = boot_clock::now() + seconds(2);
  while (boot_clock::now() < end) {
    const auto record = RecordOf(cluster);
    BOOST_REQUIRE(record.has_value());
    BOOST_REQUIRE(IsLeaving(*record));
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Guards against a confirmation that nothing outlives: the node ends right
// after it. Three nodes write their records every 300 ms.
BOOST_AUTO_TEST_CASE(confirms_that_the_server_leaves_once_the_store_has_it)
{
  cluster_with_leaving_server fixture(32700);
  process_cluster& cluster = fixture.mCluster;
  cluster.KillNode(kNode);
  BOOST_CHECK(AwaitRecord(cluster, IsLeaving));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
