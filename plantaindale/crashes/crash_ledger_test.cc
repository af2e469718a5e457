#include "plantaindale/crashes/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <random>

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const instant kStart{ hours(100) };
const request_fingerprint kDeadly{ 1, 1 };
const request_fingerprint kInnocent{ 2, 2 };

// The end of a server of its own that ran each request for 30 ms.
server_end
EndAt(instant aEndedAt, const std::vector<request_fingerprint>& aRequests)
{
  static int sServers = 0;
  server_end end;
  end.mService = "inventory";
  end.mInstance = "i-" + std::to_string(++sServers);
  end.mStartedAt = sServers;
  end.mEndedAt = aEndedAt;
  for (const request_fingerprint& request : aRequests) {
    end.mRuns.push_back(
      { request, "/stock/7", "attempt", aEndedAt - milliseconds(30) });
  }
  return end;
}

void
EndServers(crash_ledger& aLedger,
           int aCount,
           instant aFrom,
           duration aInterval = seconds(1))
{
  for (int i = 0; i < aCount; ++i) {
    const instant at = aFrom + i * aInterval;
    aLedger.OnServerEnded(EndAt(at, { kDeadly }), at);
  }
}

int
CountedEnds(const crash_ledger& aLedger,
            const request_fingerprint& aFingerprint)
{
  const auto found = aLedger.Standings().find(aFingerprint);
  return found == aLedger.Standings().end() ? 0 : found->second.mEnds;
}

bool
IsRefused(crash_ledger& aLedger,
          const request_fingerprint& aFingerprint,
          instant aNow)
{
  aLedger.Step(aNow);
  return aLedger.Verdicts().IsRefused(aFingerprint, aNow);
}

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_SUITE(a_request_ends_server_after_server)

BOOST_AUTO_TEST_CASE(is_refused_from_the_third_end)
{
  crash_ledger ledger;
  EndServers(ledger, 2, kStart);
  BOOST_CHECK(!IsRefused(ledger, kDeadly, kStart + seconds(1)));
  EndServers(ledger, 1, kStart + seconds(2));
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(2)));
  BOOST_CHECK(!IsRefused(ledger, kInnocent, kStart + seconds(2)));
}

BOOST_AUTO_TEST_CASE(may_run_again_after_the_refusal)
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart);
  const instant lapse = kStart + seconds(2) + crash_suspect::kRefusalTime;
  BOOST_CHECK(IsRefused(ledger, kDeadly, lapse - seconds(1)));
  const std::int64_t generation = ledger.Generation();
  BOOST_CHECK(!IsRefused(ledger, kDeadly, lapse));
  BOOST_CHECK_GT(ledger.Generation(), generation);
}

BOOST_AUTO_TEST_CASE(is_refused_for_longer_after_one_more_end)
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart);
  instant next = kStart + hours(1);
  EndServers(ledger, 1, next);
  BOOST_CHECK(IsRefused(ledger, kDeadly, next + minutes(19)));
  BOOST_CHECK(!IsRefused(ledger, kDeadly, next + minutes(21)));
  for (int end = 0; end < 20; ++end) {
    next = ledger.Suspects().at(kDeadly).RefusedUntil() + hours(1);
    EndServers(ledger, 1, next);
    BOOST_CHECK(IsRefused(ledger, kDeadly, next));
  }
  BOOST_CHECK(IsRefused(ledger, kDeadly, next + hours(23)));
  BOOST_CHECK(!IsRefused(ledger, kDeadly, next + hours(24)));
}

BOOST_AUTO_TEST_CASE(counts_ends_minutes_apart_until_two_minutes_pass_without)
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart, seconds(110));
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(220)));
  crash_ledger slow;
  EndServers(slow, 3, kStart, seconds(130));
  BOOST_CHECK_EQUAL(CountedEnds(slow, kDeadly), 1);
}

BOOST_AUTO_TEST_CASE(is_forgotten_at_last)
{
  crash_ledger ledger;
  EndServers(ledger, 2, kStart);
  ledger.Step(kStart + seconds(130));
  BOOST_CHECK(ledger.Suspects().empty());
  BOOST_CHECK_EQUAL(ledger.Hash(), 0);
  EndServers(ledger, 3, kStart + hours(1));
  ledger.Step(kStart + hours(26));
  BOOST_CHECK(ledger.Suspects().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(servers_end_at_the_same_time)

BOOST_AUTO_TEST_CASE(three_copies_at_three_servers_count_once)
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart, milliseconds(5));
  BOOST_CHECK_EQUAL(CountedEnds(ledger, kDeadly), 1);
  EndServers(ledger, 3, kStart + seconds(1), milliseconds(5));
  EndServers(ledger, 3, kStart + seconds(2), milliseconds(5));
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(3)));
}

BOOST_AUTO_TEST_CASE(one_start_of_a_server_counts_once)
{
  crash_ledger ledger;
  server_end end = EndAt(kStart, { kDeadly, kDeadly });
  BOOST_CHECK_EQUAL(ledger.OnServerEnded(end, kStart).size(), 1u);
  for (int report = 1; report < 4; ++report) {
    end.mEndedAt = kStart + seconds(report);
    for (interrupted_run& run : end.mRuns) {
      run.mBeganAt = end.mEndedAt - milliseconds(30);
    }
    BOOST_CHECK(ledger.OnServerEnded(end, end.mEndedAt).empty());
  }
  BOOST_CHECK_EQUAL(CountedEnds(ledger, kDeadly), 1);
}

BOOST_AUTO_TEST_CASE(a_run_without_a_beginning_is_ignored)
{
  crash_ledger ledger;
  server_end end = EndAt(kStart, { kDeadly });
  end.mRuns.front().mBeganAt = kNever;
  BOOST_CHECK(ledger.OnServerEnded(end, kStart).empty());
  BOOST_CHECK(ledger.Suspects().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_innocent_request_runs_at_the_same_servers)

BOOST_AUTO_TEST_CASE(a_hot_one_is_never_refused_on_a_day_of_many_crashes)
{
  crash_ledger ledger;
  std::mt19937 random(7);
  std::uniform_int_distribution<int> pause_ms(40, 4000);
  instant now = kStart;
  for (int end = 0; end < 1000; ++end) {
    ledger.OnServerEnded(EndAt(now, { kInnocent }), now);
    BOOST_REQUIRE(!IsRefused(ledger, kInnocent, now));
    // Another server runs it to its end soon after.
    ledger.Clear(kInnocent, now + milliseconds(35));
    now += milliseconds(pause_ms(random));
  }
}

BOOST_AUTO_TEST_CASE(one_hit_twice_is_cleared_by_a_complete_run)
{
  crash_ledger ledger;
  EndServers(ledger, 2, kStart);
  BOOST_CHECK_EQUAL(ledger.Clear(kDeadly, kStart + seconds(2)).size(), 1u);
  BOOST_CHECK_EQUAL(CountedEnds(ledger, kDeadly), 0);
  EndServers(ledger, 2, kStart + seconds(3));
  BOOST_CHECK_EQUAL(CountedEnds(ledger, kDeadly), 2);
}

BOOST_AUTO_TEST_CASE(a_complete_run_clears_an_earlier_end_heard_of_later)
{
  crash_ledger ledger;
  EndServers(ledger, 1, kStart);
  ledger.Clear(kDeadly, kStart + seconds(2));
  crash_ledger other;
  EndServers(other, 1, kStart + seconds(1));
  ledger.Merge(other.Records(kStart + seconds(3)), kStart + seconds(3));
  BOOST_CHECK_EQUAL(CountedEnds(ledger, kDeadly), 0);
  BOOST_CHECK_EQUAL(ledger.Suspects().at(kDeadly).Ends().size(), 2u);
}

BOOST_AUTO_TEST_CASE(a_complete_run_of_an_unknown_request_changes_nothing)
{
  crash_ledger ledger;
  BOOST_CHECK(ledger.Clear(kInnocent, kStart).empty());
  BOOST_CHECK_EQUAL(ledger.Generation(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_operator_lifts_a_refusal)

BOOST_AUTO_TEST_CASE(the_request_starts_without_ends)
{
  crash_ledger ledger;
  EndServers(ledger, 5, kStart);
  const instant lifted_at = kStart + seconds(10);
  BOOST_CHECK_EQUAL(ledger.Clear(kDeadly, lifted_at).size(), 1u);
  BOOST_CHECK(!IsRefused(ledger, kDeadly, lifted_at));
  EndServers(ledger, 2, kStart + seconds(11));
  BOOST_CHECK(!IsRefused(ledger, kDeadly, kStart + seconds(13)));
  EndServers(ledger, 1, kStart + seconds(14));
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(14)));
}

BOOST_AUTO_TEST_CASE(a_node_that_was_cut_off_does_not_bring_it_back)
{
  crash_ledger cut_off;
  EndServers(cut_off, 3, kStart);
  crash_ledger ledger;
  ledger.Merge(cut_off.Records(kStart + seconds(3)), kStart + seconds(3));
  ledger.Clear(kDeadly, kStart + seconds(4));
  const instant met_at = kStart + minutes(8);
  ledger.Step(met_at);
  BOOST_CHECK(ledger.Merge(cut_off.Records(met_at), met_at).empty());
  BOOST_CHECK(!IsRefused(ledger, kDeadly, met_at));
  cut_off.Merge(ledger.Records(met_at), met_at);
  BOOST_CHECK(!IsRefused(cut_off, kDeadly, met_at));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(nodes_tell_each_other)

BOOST_AUTO_TEST_CASE(any_order_and_repetition_gives_the_same)
{
  std::vector<crash_ledger> nodes(4);
  const instant now = kStart + seconds(10);
  for (int end = 0; end < 12; ++end) {
    const instant at = kStart + milliseconds(700) * end;
    nodes[static_cast<std::size_t>(end) % 4].OnServerEnded(
      EndAt(at, { kDeadly, kInnocent }), at);
  }
  nodes[2].Clear(kInnocent, now);
  std::vector<std::size_t> order{ 0, 1, 2, 3 };
  const auto merge_all = [&] {
    crash_ledger merged;
    for (const std::size_t node : order) {
      merged.Merge(nodes[node].Records(now), now);
    }
    return merged;
  };
  const crash_ledger first = merge_all();
  BOOST_CHECK_EQUAL(CountedEnds(first, kDeadly), 12);
  BOOST_CHECK_EQUAL(CountedEnds(first, kInnocent), 9);
  while (std::next_permutation(order.begin(), order.end())) {
    crash_ledger merged = merge_all();
    BOOST_CHECK(merged.Records(now) == first.Records(now));
    BOOST_CHECK_EQUAL(merged.Hash(), first.Hash());
    BOOST_CHECK(merged.Merge(first.Records(now), now).empty()); // idempotent
  }
  // ((0 + 1) + (2 + 3)) = (((0 + 1) + 2) + 3)
  crash_ledger left = nodes[0];
  left.Merge(nodes[1].Records(now), now);
  crash_ledger right;
  right.Merge(nodes[2].Records(now), now);
  right.Merge(nodes[3].Records(now), now);
  left.Merge(right.Records(now), now);
  BOOST_CHECK_EQUAL(left.Hash(), first.Hash());
}

BOOST_AUTO_TEST_CASE(transfer_delays_do_not_add_up)
{
  crash_ledger origin;
  EndServers(origin, 3, kStart);
  crash_ledger peer;
  instant now = kStart + seconds(3);
  for (int exchange = 0; exchange < 1000; ++exchange) {
    const auto sent = origin.Records(now);
    now += milliseconds(50);
    peer.Merge(sent, now);
    const auto returned = peer.Records(now);
    now += milliseconds(50);
    BOOST_CHECK(origin.Merge(returned, now).empty());
    BOOST_CHECK_EQUAL(origin.Hash(), peer.Hash());
  }
  BOOST_CHECK(origin.Suspects().at(kDeadly).LastEnd() == kStart + seconds(2));
  BOOST_CHECK(peer.Suspects().at(kDeadly).LastEnd() ==
              kStart + seconds(2) + milliseconds(50));
}

BOOST_AUTO_TEST_CASE(what_is_about_to_be_forgotten_does_not_come_back)
{
  crash_ledger origin;
  EndServers(origin, 1, kStart);
  const instant late = kStart + seconds(115);
  origin.Step(late);
  BOOST_CHECK_EQUAL(origin.Hash(), 0);
  crash_ledger peer;
  BOOST_CHECK(peer.Merge(origin.Records(late), late).empty());
  BOOST_CHECK(peer.Suspects().empty());
}

BOOST_AUTO_TEST_CASE(more_ends_than_are_kept_give_the_same_in_any_order)
{
  crash_ledger first;
  crash_ledger second;
  EndServers(first, 20, kStart);
  EndServers(second, 20, kStart + milliseconds(500));
  const instant now = kStart + seconds(30);
  crash_ledger merged = first;
  merged.Merge(second.Records(now), now);
  second.Merge(first.Records(now), now);
  BOOST_CHECK_EQUAL(merged.Suspects().at(kDeadly).Ends().size(),
                    crash_suspect::kMaxEnds);
  BOOST_CHECK_EQUAL(merged.Hash(), second.Hash());
  BOOST_CHECK(merged.Merge(first.Records(now), now).empty());
}

BOOST_AUTO_TEST_SUITE(odd_records)

protocol::crash_record
ValidRecord()
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart);
  return ledger.Records(kStart + seconds(3)).front();
}

void
CheckWithoutEffect(const protocol::crash_record& aRecord)
{
  crash_ledger ledger;
  BOOST_CHECK(ledger.Merge({ &aRecord, 1 }, kStart).empty());
  BOOST_CHECK(ledger.Suspects().empty());
  BOOST_CHECK_EQUAL(ledger.Generation(), 0);
}

BOOST_AUTO_TEST_CASE(fingerprint_of_another_length)
{
  protocol::crash_record record = ValidRecord();
  crash_ledger ledger;
  BOOST_CHECK_EQUAL(ledger.Merge({ &record, 1 }, kStart).size(), 1u);
  record.fingerprint += "x";
  CheckWithoutEffect(record);
  record.fingerprint.clear();
  CheckWithoutEffect(record);
}

BOOST_AUTO_TEST_CASE(impossible_ages)
{
  const std::vector<std::int64_t> ages{
    -1,
    INT64_MIN,
    INT64_MAX,
    duration(hours(49)).count(),
  };
  for (const std::int64_t age : ages) {
    protocol::crash_record record = ValidRecord();
    record.ends.back().ended_us = age;
    CheckWithoutEffect(record);
    record = ValidRecord();
    record.ends.back().run_began_us = age;
    CheckWithoutEffect(record);
  }
  protocol::crash_record record = ValidRecord();
  record.ends.back().run_began_us = record.ends.back().ended_us - 1;
  CheckWithoutEffect(record);
}

BOOST_AUTO_TEST_CASE(oversized)
{
  protocol::crash_record record = ValidRecord();
  record.ends.clear();
  CheckWithoutEffect(record);
  record = ValidRecord();
  record.ends.resize(crash_suspect::kMaxEnds + 1, record.ends.front());
  CheckWithoutEffect(record);
  record = ValidRecord();
  record.ends.front().instance.assign(crash_ledger::kMaxNameBytes + 1, 'x');
  CheckWithoutEffect(record);
  record = ValidRecord();
  record.target.assign(crash_ledger::kMaxTargetBytes + 1, 'x');
  CheckWithoutEffect(record);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(more_requests_than_are_kept)

BOOST_AUTO_TEST_CASE(the_oldest_suspects_go_and_the_verdict_stays)
{
  crash_ledger ledger;
  EndServers(ledger, 3, kStart);
  for (std::uint64_t i = 0; i < 2 * crash_ledger::kMaxSuspects; ++i) {
    const instant at = kStart + seconds(3) + milliseconds(i);
    ledger.OnServerEnded(EndAt(at, { { 10, i } }), at);
  }
  BOOST_CHECK_EQUAL(ledger.Suspects().size(), crash_ledger::kMaxSuspects);
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(4)));
  BOOST_CHECK_EQUAL(CountedEnds(ledger, { 10, 0 }), 0);
  BOOST_CHECK_EQUAL(CountedEnds(ledger, { 10, 511 }), 1);
}

BOOST_AUTO_TEST_CASE(servers_with_many_runs_do_not_hide_what_ends_them)
{
  crash_ledger ledger;
  std::uint64_t others = 0;
  for (int end = 0; end < 3; ++end) {
    std::vector<request_fingerprint> running{ kDeadly };
    std::generate_n(std::back_inserter(running), 250, [&] {
      return request_fingerprint{ 10, ++others };
    });
    const instant at = kStart + seconds(end);
    ledger.OnServerEnded(EndAt(at, running), at);
  }
  BOOST_CHECK(IsRefused(ledger, kDeadly, kStart + seconds(2)));
}

BOOST_AUTO_TEST_CASE(of_many_verdicts_the_one_that_ends_first_goes)
{
  crash_ledger ledger;
  instant now = kStart;
  for (std::uint64_t i = 0; i <= crash_ledger::kMaxSuspects; ++i) {
    for (int end = 0; end < 3; ++end) {
      now += milliseconds(100);
      ledger.OnServerEnded(EndAt(now, { { 10, i } }), now);
    }
  }
  BOOST_CHECK_EQUAL(ledger.Suspects().size(), crash_ledger::kMaxSuspects);
  BOOST_CHECK(!IsRefused(ledger, { 10, 0 }, now));
  BOOST_CHECK(IsRefused(ledger, { 10, 1 }, now));
  BOOST_CHECK(IsRefused(ledger, { 10, crash_ledger::kMaxSuspects }, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
