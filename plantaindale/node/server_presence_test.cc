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

struct listening
{
  absl::Status Hear(const server_notice& aNotice, instant aNow = kStart)
  {
    return mPresence.OnNotice(aNotice, aNow);
  }
  std::string Instance() const
  {
    const auto server = mPresence.Server();
    return server ? server->mInstance : "";
  }

  server_presence mPresence{ kExpected, seconds(4) };
};

BOOST_AUTO_TEST_SUITE(the_server_beside_a_node)

BOOST_AUTO_TEST_CASE(is_known_by_its_heartbeat)
{
  listening node;
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 1)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "a");
}

BOOST_AUTO_TEST_CASE(isnt_replaced_by_a_late_word_of_an_earlier_start)
{
  listening node;
  BOOST_CHECK(node.Hear(Heartbeat("b", 200, 1)).ok());
  BOOST_CHECK(!node.Hear(Heartbeat("a", 100, 9)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "b");
}

BOOST_AUTO_TEST_CASE(may_start_again_under_its_name_with_new_counts)
{
  listening node;
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 9)).ok());
  BOOST_CHECK(node.Hear(Heartbeat("a", 200, 1)).ok());
  BOOST_CHECK_EQUAL(node.mPresence.Server()->mStartedAt, 200);
}

BOOST_AUTO_TEST_CASE(that_leaves_doesnt_come_back_by_a_late_heartbeat)
{
  listening node;
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 1)).ok());
  server_notice leaving;
  leaving.mKind = server_notice::kind::kLeaving;
  leaving.mServer.mInstance = "a";
  BOOST_CHECK(node.Hear(leaving).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 2)).ok());
  BOOST_CHECK(node.mPresence.Server()->mIsLeaving);
  BOOST_CHECK(node.Hear(Heartbeat("b", 200, 1)).ok());
  BOOST_CHECK(!node.mPresence.Server()->mIsLeaving);
}

BOOST_AUTO_TEST_CASE(is_none_that_says_it_is_elsewhere_or_another_service)
{
  listening node;
  server_notice elsewhere = Heartbeat("a", 100, 1);
  elsewhere.mServer.mAddress = "10.0.0.8:80";
  BOOST_CHECK(absl::IsInvalidArgument(node.Hear(elsewhere)));
  server_notice other = Heartbeat("a", 100, 1);
  other.mServer.mService = "crier";
  BOOST_CHECK(absl::IsInvalidArgument(node.Hear(other)));
  BOOST_CHECK_EQUAL(node.Instance(), "");
}

BOOST_AUTO_TEST_CASE(is_lost_when_it_is_silent_or_nothing_listens)
{
  listening node;
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 1)).ok());
  node.mPresence.Step(kStart + seconds(3));
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  node.mPresence.Step(kStart + seconds(4));
  BOOST_CHECK_EQUAL(node.Instance(), "");
  BOOST_CHECK(node.Hear(Heartbeat("a", 100, 2), kStart + seconds(5)).ok());
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  node.mPresence.OnRefused();
  BOOST_CHECK_EQUAL(node.Instance(), "");
}

BOOST_AUTO_TEST_CASE(is_assumed_from_before_a_restart_until_it_speaks)
{
  listening node;
  node.mPresence.Assume(Heartbeat("a", 100, 1).mServer, kStart);
  BOOST_CHECK_EQUAL(node.Instance(), "a");
  BOOST_CHECK(node.Hear(Heartbeat("b", 200, 1)).ok());
  node.mPresence.Assume(Heartbeat("a", 100, 1).mServer, kStart);
  BOOST_CHECK_EQUAL(node.Instance(), "b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
