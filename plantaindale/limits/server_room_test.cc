#include "plantaindale/limits/server_room.h"

#include <limits>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds(100) };

BOOST_AUTO_TEST_SUITE(the_room_of_a_server)

BOOST_AUTO_TEST_CASE(is_unknown_by_default_and_when_old)
{
  BOOST_CHECK(!server_room().IsKnown(kStart));
  BOOST_CHECK(server_room().ExpectedRun(kStart) == duration(0));
  const server_room room{ .mSlots = 8,
                          .mRun = milliseconds(100),
                          .mMeasuredAt = kStart };
  BOOST_CHECK(room.IsKnown(kStart + seconds(9)));
  BOOST_CHECK(!room.IsKnown(kStart + seconds(10)));
  BOOST_CHECK(room.ExpectedRun(kStart + seconds(10)) == duration(0));
}

BOOST_AUTO_TEST_CASE(expects_the_usual_run_time_once_the_slowness_is_old)
{
  const server_room room{ .mSlots = 8,
                          .mSlowness = 3,
                          .mRun = milliseconds(100),
                          .mMeasuredAt = kStart };
  BOOST_CHECK(room.ExpectedRun(kStart + milliseconds(100)) ==
              milliseconds(300));
  BOOST_CHECK(room.ExpectedRun(kStart + milliseconds(300)) ==
              milliseconds(100));
}

BOOST_AUTO_TEST_CASE(passes_between_nodes)
{
  const server_room told{
    8, 7, 3, 1.5, 13, milliseconds(40), milliseconds(90), kStart
  };
  const server_room got = FromMessage(ToMessage(told), kStart + seconds(1));
  BOOST_CHECK_EQUAL(got.mSlots, 8);
  BOOST_CHECK_EQUAL(got.mRunning, 7);
  BOOST_CHECK_EQUAL(got.mWaiting, 3);
  BOOST_CHECK_EQUAL(got.mSlowness, 1.5);
  BOOST_CHECK_EQUAL(got.mStartsPerSecond, 13);
  BOOST_CHECK(got.mWait == milliseconds(40));
  BOOST_CHECK(got.mRun == milliseconds(90));
  BOOST_CHECK(got.mMeasuredAt == kStart + seconds(1));
}

BOOST_AUTO_TEST_CASE(is_unknown_if_the_message_has_none_or_an_impossible_one)
{
  BOOST_CHECK_EQUAL(FromMessage({}, kStart).mSlots, 0);
  protocol::server_room possible;
  possible.slots = 8;
  BOOST_CHECK_EQUAL(FromMessage(possible, kStart).mSlots, 8);
  protocol::server_room message = possible;
  message.run_us = -1;
  BOOST_CHECK_EQUAL(FromMessage(message, kStart).mSlots, 0);
  message = possible;
  message.wait_us = std::numeric_limits<std::int64_t>::max();
  BOOST_CHECK_EQUAL(FromMessage(message, kStart).mSlots, 0);
  message = possible;
  message.slowness = std::numeric_limits<double>::quiet_NaN();
  BOOST_CHECK_EQUAL(FromMessage(message, kStart).mSlots, 0);
  message = possible;
  message.running = -3;
  BOOST_CHECK_EQUAL(FromMessage(message, kStart).mSlots, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
