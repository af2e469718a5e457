#include "plantaindale/limits/room_tracker.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds(100) };

// A tracker of a server with 12 slots that has run a request each 50 ms.
room_tracker
TrackerAfterRuns(milliseconds aRun, int aCount = 200)
{
  room_tracker tracker;
  tracker.SetServer(12);
  for (int i = aCount; i > 0; --i) {
    tracker.OnRun(aRun, kStart - milliseconds(50) * i);
  }
  return tracker;
}

BOOST_AUTO_TEST_SUITE(tracking_the_room_of_the_local_server)

BOOST_AUTO_TEST_SUITE(without_a_load_field)

BOOST_AUTO_TEST_CASE(room_and_capacity_stay_unknown)
{
  const room_tracker tracker = TrackerAfterRuns(milliseconds(100));
  BOOST_CHECK(!tracker.Room({ 3, 0, {} }, kStart).IsKnown(kStart));
  BOOST_CHECK_EQUAL(tracker.Capacity(kStart), 0);
}

BOOST_AUTO_TEST_CASE(a_load_of_other_slots_than_announced_counts_as_none)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(100));
  BOOST_CHECK(!tracker.OnLoad({ 0, 0, 120, 1 }, kStart));
  BOOST_CHECK(!tracker.Room({}, kStart).IsKnown(kStart));
  BOOST_CHECK_EQUAL(tracker.Capacity(kStart), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_load_field)

BOOST_AUTO_TEST_CASE(room_shows_what_runs_and_waits_here)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  BOOST_CHECK(tracker.OnLoad({ 12, 2, 12, 1 }, kStart));
  const server_room room = tracker.Room({ 12, 9, {} }, kStart);
  BOOST_CHECK_EQUAL(room.mSlots, 12);
  BOOST_CHECK_EQUAL(room.mRunning, 12);
  BOOST_CHECK_EQUAL(room.mWaiting, 11);
  BOOST_CHECK(room.mRun > milliseconds(119) && room.mRun < milliseconds(121));
  BOOST_CHECK(room.mWait > milliseconds(118) && room.mWait < milliseconds(122));
}

BOOST_AUTO_TEST_CASE(a_free_slot_means_no_wait)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  tracker.OnLoad({ 11, 0, 12, 1 }, kStart);
  BOOST_CHECK(tracker.Room({ 11, 0, {} }, kStart).mWait == duration(0));
}

BOOST_AUTO_TEST_CASE(slowness_is_told_relative_to_the_usual_one_while_fresh)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  for (int i = 100; i > 0; --i) {
    tracker.OnLoad({ 1, 0, 12, 1.5 }, kStart - milliseconds(50) * i);
  }
  tracker.OnLoad({ 1, 0, 12, 3 }, kStart);
  const double slowness = tracker.Room({}, kStart).mSlowness;
  BOOST_CHECK(slowness > 1.9 && slowness < 2.05);
  const instant later = kStart + milliseconds(300);
  BOOST_CHECK_EQUAL(tracker.Room({}, later).mSlowness, 0);
  BOOST_CHECK(tracker.Room({}, later).IsKnown(later));
}

BOOST_AUTO_TEST_CASE(the_room_is_unknown_once_the_last_load_is_old)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  tracker.OnLoad({ 1, 0, 12, 1 }, kStart);
  const instant later = kStart + kRoomLifetime;
  BOOST_CHECK(!tracker.Room({}, later).IsKnown(later));
}

BOOST_AUTO_TEST_CASE(another_start_of_the_server_begins_anew)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  tracker.OnLoad({ 1, 0, 12, 1 }, kStart);
  tracker.SetServer(12);
  BOOST_CHECK(!tracker.Room({}, kStart).IsKnown(kStart));
}

BOOST_AUTO_TEST_CASE(a_limited_pace_makes_requests_wait_beside_free_slots)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(120));
  tracker.OnLoad({ 2, 0, 12, 1 }, kStart);
  const server_room room = tracker.Room({ 2, 26, 13.0 }, kStart);
  BOOST_CHECK_EQUAL(room.mStartsPerSecond, 13);
  BOOST_CHECK(room.mWait == seconds(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_CASE(compares_as_the_speeds_of_servers_do)
{
  room_tracker slow = TrackerAfterRuns(milliseconds(257));
  room_tracker fast = TrackerAfterRuns(milliseconds(112));
  slow.OnLoad({ 1, 0, 12, 1 }, kStart);
  fast.OnLoad({ 1, 0, 12, 1 }, kStart);
  BOOST_CHECK_CLOSE(
    fast.Capacity(kStart) / slow.Capacity(kStart), 257.0 / 112, 1);
}

BOOST_AUTO_TEST_CASE(changes_little_by_rare_long_requests)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(100));
  tracker.OnLoad({ 1, 0, 12, 1 }, kStart);
  const double before = tracker.Capacity(kStart);
  for (int i = 0; i < 3; ++i) {
    tracker.OnRun(milliseconds(1400), kStart);
  }
  BOOST_CHECK(tracker.Capacity(kStart) > 0.9 * before);
}

BOOST_AUTO_TEST_CASE(of_a_server_without_requests_stays_known_for_a_minute)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(100));
  tracker.OnLoad({ 1, 0, 12, 1 }, kStart);
  const double before = tracker.Capacity(kStart);
  BOOST_CHECK_EQUAL(tracker.Capacity(kStart + seconds(59)), before);
  tracker.OnRun(milliseconds(110), kStart + seconds(40));
  BOOST_CHECK_CLOSE(tracker.Capacity(kStart + seconds(40)), before, 1);
  BOOST_CHECK_EQUAL(tracker.Capacity(kStart + seconds(60)), 0);
}

BOOST_AUTO_TEST_CASE(is_unknown_until_enough_requests_have_run)
{
  room_tracker tracker = TrackerAfterRuns(milliseconds(100), 10);
  tracker.OnLoad({ 1, 0, 12, 1 }, kStart);
  BOOST_CHECK_EQUAL(tracker.Capacity(kStart), 0);
  BOOST_CHECK(tracker.Room({}, kStart).mRun == duration(0));
  BOOST_CHECK(tracker.Room({}, kStart).IsKnown(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
