#include "plantaindale/node/server_presence.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::seconds;

const instant kStart = instant(std::chrono::hours(1));
const expected_server kExpected{ "board", "10.0.0.9:80" };

server_notice
Heartbeat(const std::string& aInstance,
          std::int64_t aStartedAt,
          std::int64_t aSequence)
{
  server_notice notice;
  notice.mServer.mService = kExpected.mService;
  notice.mServer.mAddress = kExpected.mAddress;
  notice.mServer.mInstance = aInstance;
  notice.mServer.mStartedAt = aStartedAt;
  notice.mSequence = aSequence;
  return notice;
}

struct presence_fixture
{
  absl::Status SendNotice(const server_notice& aNotice, instant aNow = kStart)
  {
    return mPresence.OnNotice(aNotice, aNow);
  }
  std::string Instance() const
  {
    const auto server = mPresence.Server();
    return server ? server->mInstance : "";
  }

  server_presence mPresence{ kExpected, seconds(4), seconds(2) };
};

BOOST_AUTO_TEST_SUITE(backend_server_presence)

BOOST_AUTO_TEST_CASE(is_registered_by_heartbeat)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 1)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "a");
}

BOOST_AUTO_TEST_CASE(ignores_late_heartbeat_of_earlier_start)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("b", 200, 1)).ok());
  BOOST_CHECK(!node.SendNotice(Heartbeat("a", 100, 9)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "b");
}

BOOST_AUTO_TEST_CASE(ignores_a_start_in_the_far_future)
{
  constexpr std::int64_t kNowMs = 1'800'000'000'000;
  presence_fixture node;
  server_notice forged = Heartbeat("a", kNowMs * 2, 1);
  forged.mReceivedAt = kNowMs;
  BOOST_CHECK(absl::IsInvalidArgument(node.SendNotice(forged)));
  server_notice real = Heartbeat("a", kNowMs + 5000, 1);
  real.mReceivedAt = kNowMs;
  BOOST_CHECK(node.SendNotice(real).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "a");
}

BOOST_AUTO_TEST_CASE(accepts_restart_with_reset_sequence)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 9)).ok());
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 200, 1)).ok());
  BOOST_CHECK_EQUAL(node.mPresence.Server()->mStartedAt, 200);
}

BOOST_AUTO_TEST_CASE(late_heartbeat_does_not_undo_leaving)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 1)).ok());
  server_notice leaving;
  leaving.mKind = server_notice::kind::kLeaving;
  leaving.mServer.mInstance = "a";
  BOOST_CHECK(node.SendNotice(leaving).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 2)).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.SendNotice(Heartbeat("b", 200, 1)).ok());
  BOOST_CHECK(!node.mPresence.Server()->mIsLeaving);
}

BOOST_AUTO_TEST_CASE(late_heartbeat_that_says_leaving_counts)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 5)).ok());
  server_notice draining = Heartbeat("a", 100, 4);
  draining.mServer.mIsLeaving = true;
  BOOST_CHECK(node.SendNotice(draining).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(!node.SendNotice(Heartbeat("a", 100, 5)).ok());
}

BOOST_AUTO_TEST_CASE(server_that_left_before_it_was_registered_is_leaving)
{
  server_notice leaving;
  leaving.mKind = server_notice::kind::kLeaving;
  leaving.mServer.mInstance = "a";
  leaving.mReceivedAt = 150;

  presence_fixture restored;
  BOOST_CHECK(restored.SendNotice(leaving).ok());
  restored.mPresence.RestoreServer(Heartbeat("a", 100, 0).mServer, kStart);
  BOOST_CHECK(restored.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(restored.mPresence.LeavingSince() == kNever);

  presence_fixture registered;
  BOOST_CHECK(registered.SendNotice(leaving).ok());
  BOOST_CHECK(registered.SendNotice(Heartbeat("a", 100, 7)).ok());
  BOOST_CHECK(registered.mPresence.Server()->mIsLeaving);
  // A later start under the same name has not said so.
  BOOST_CHECK(registered.SendNotice(Heartbeat("a", 200, 1)).ok());
  BOOST_CHECK(!registered.mPresence.Server()->mIsLeaving);
}

// Guards against the use of a server that has left: a late heartbeat reaches a
// node that has restarted before it has read its record.
BOOST_AUTO_TEST_CASE(server_that_left_an_earlier_process_stays_leaving)
{
  announced_server left = Heartbeat("a", 100, 0).mServer;
  left.mIsLeaving = true;

  presence_fixture heard_first;
  BOOST_CHECK(heard_first.SendNotice(Heartbeat("a", 100, 5)).ok());
  heard_first.mPresence.RestoreServer(left, kStart + seconds(1));
  BOOST_CHECK(heard_first.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(heard_first.mPresence.LeavingSince() == kNever);

  presence_fixture restored_first;
  restored_first.mPresence.RestoreServer(left, kStart);
  BOOST_CHECK(restored_first.SendNotice(Heartbeat("a", 100, 5)).ok());
  BOOST_CHECK(restored_first.mPresence.Server()->mIsLeaving);

  presence_fixture restarted;
  BOOST_CHECK(restarted.SendNotice(Heartbeat("a", 200, 1)).ok());
  restarted.mPresence.RestoreServer(left, kStart);
  BOOST_CHECK(!restarted.mPresence.Server()->mIsLeaving);
}

BOOST_AUTO_TEST_CASE(drain_does_not_begin_anew_when_the_node_restarts)
{
  server_notice draining = Heartbeat("a", 100, 8);
  draining.mServer.mIsLeaving = true;

  presence_fixture continued;
  BOOST_CHECK(continued.SendNotice(Heartbeat("a", 100, 7)).ok());
  BOOST_CHECK(continued.mPresence.LeavingSince() == instant::max());
  BOOST_CHECK(continued.SendNotice(draining, kStart + seconds(1)).ok());
  BOOST_CHECK(continued.mPresence.LeavingSince() == kStart + seconds(1));

  presence_fixture restarted;
  BOOST_CHECK(restarted.SendNotice(draining).ok());
  BOOST_CHECK(restarted.mPresence.LeavingSince() == kNever);

  presence_fixture restored;
  restored.mPresence.RestoreServer(Heartbeat("a", 100, 0).mServer, kStart);
  BOOST_CHECK(restored.SendNotice(draining).ok());
  BOOST_CHECK(restored.mPresence.LeavingSince() == kNever);
}

BOOST_AUTO_TEST_CASE(rejects_other_address_or_service)
{
  presence_fixture node;
  server_notice elsewhere = Heartbeat("a", 100, 1);
  elsewhere.mServer.mAddress = "10.0.0.8:80";
  BOOST_CHECK(absl::IsInvalidArgument(node.SendNotice(elsewhere)));
  server_notice other = Heartbeat("a", 100, 1);
  other.mServer.mService = "crier";
  BOOST_CHECK(absl::IsInvalidArgument(node.SendNotice(other)));
  BOOST_CHECK_EQUAL(node.Instance(), "");
}

BOOST_AUTO_TEST_CASE(is_lost_after_silence_or_refused_connection)
{
  presence_fixture node;
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 1)).ok());
  node.mPresence.Step(kStart + seconds(3));
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  node.mPresence.Step(kStart + seconds(4));
  BOOST_CHECK_EQUAL(node.Instance(), "");
  BOOST_CHECK(
    node.SendNotice(Heartbeat("a", 100, 2), kStart + seconds(5)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  node.mPresence.OnRefused();
  BOOST_CHECK_EQUAL(node.Instance(), "");
}

BOOST_AUTO_TEST_CASE(restored_server_is_replaced_by_heartbeat)
{
  presence_fixture node;
  node.mPresence.RestoreServer(Heartbeat("a", 100, 1).mServer, kStart);
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  BOOST_CHECK(node.SendNotice(Heartbeat("b", 200, 1)).ok());
  node.mPresence.RestoreServer(Heartbeat("a", 100, 1).mServer, kStart);
  BOOST_CHECK_EQUAL(node.Instance(), "b");
}

BOOST_AUTO_TEST_CASE(restored_server_is_lost_without_a_heartbeat_of_its_own)
{
  presence_fixture node;
  node.mPresence.RestoreServer(Heartbeat("a", 100, 0).mServer, kStart);
  node.mPresence.Step(kStart + seconds(1));
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  node.mPresence.Step(kStart + seconds(2));
  BOOST_CHECK_EQUAL(node.Instance(), "");
  BOOST_CHECK(
    node.SendNotice(Heartbeat("a", 100, 9), kStart + seconds(3)).ok());
  node.mPresence.Step(kStart + seconds(6));
  BOOST_CHECK_EQUAL(node.Instance(), "a");
}

BOOST_AUTO_TEST_CASE(response_of_the_instance_says_that_it_leaves)
{
  presence_fixture node;
  node.mPresence.OnSaidLeaving("a", kStart);
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 1)).ok());
  BOOST_CHECK(!node.mPresence.Server()->mIsLeaving);
  node.mPresence.OnSaidLeaving("b", kStart);
  BOOST_CHECK(!node.mPresence.Server()->mIsLeaving);
  node.mPresence.OnSaidLeaving("a", kStart);
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 100, 2)).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.SendNotice(Heartbeat("a", 200, 1)).ok());
  BOOST_CHECK(!node.mPresence.Server()->mIsLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
