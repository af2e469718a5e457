// Sends pipelined requests to a real node: further ones before the first is
// answered.
#include <algorithm>
#include <map>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "bench/process_usage.h"
#include "plantaindale/load/history_checker.h"
#include "sessions/process_cluster.h"
#include "sessions/test_connection.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

struct answer
{
  int mStatus = 0;
  std::string mTag; // that the backend server read in the request
  bool mKeepsAlive = false;
  std::size_t mBodyBytes = 0;
};

// A connection to a node over which requests are sent without waiting.
class pipelined_caller
{
public:
  explicit pipelined_caller(const std::string& aAddress)
    : mSocket(ConnectTo(aAddress))
  {
  }
  pipelined_caller(const pipelined_caller&) = delete;
  pipelined_caller& operator=(const pipelined_caller&) = delete;
  ~pipelined_caller() { Close(); }

  void Send(std::string_view aBytes)
  {
    BOOST_REQUIRE_EQUAL(
      send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
      static_cast<ssize_t>(aBytes.size()));
  }
  // A request whose body is empty.
  void SendRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aTag,
                   std::string_view aFields = "")
  {
    Send(absl::StrCat(std::string(aMethod),
                      " ",
                      std::string(aTarget),
                      " HTTP/1.1\r\nHost: a\r\nX-Tag: ",
                      std::string(aTag),
                      "\r\n",
                      std::string(aFields),
                      "\r\n"));
  }
  void CloseSendingHalf() { shutdown(mSocket, SHUT_WR); }
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
    mSocket = -1;
  }
  void Reset()
  {
    const linger at_once{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }

  // Returns the next response; status 0 if the node closes the connection.
  answer Receive(bool aIsOfHead = false)
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    parser.skip(aIsOfHead);
    boost::system::error_code error;
    while (!parser.is_done()) {
      mInput.erase(0, parser.put(boost::asio::buffer(mInput), error));
      if (error && error != http::error::need_more) {
        BOOST_ERROR("malformed response: " << error.message());
        return {};
      }
      if (!parser.is_done() && !ReadMore()) {
        return {};
      }
    }
    const auto& message = parser.get();
    answer result;
    result.mStatus = message.result_int();
    result.mKeepsAlive = message.keep_alive();
    result.mBodyBytes = message.body().size();
    const std::string_view body = message.body();
    constexpr std::string_view kTag = "\"tag\":\"";
    if (const std::size_t tag = body.find(kTag); tag != body.npos) {
      const std::size_t begin = tag + kTag.size();
      result.mTag = body.substr(begin, body.find('"', begin) - begin);
    }
    return result;
  }

private:
  bool ReadMore()
  {
    char buffer[16 * 1024];
    const ssize_t got = read(mSocket, buffer, sizeof(buffer));
    if (got > 0) {
      mInput.append(buffer, static_cast<std::size_t>(got));
    }
    return got > 0;
  }

  int mSocket;
  std::string mInput;
};

// Three nodes; each shard has an owner.
struct pipeline_cluster
{
  explicit pipeline_cluster(int aBasePort, int aSlots = 12)
    : mCluster([&] {
      process_cluster_settings settings = MakeTestSettings(aBasePort);
      settings.mNodes = 3;
      settings.mSlots = aSlots;
      return settings;
    }())
  {
    BOOST_REQUIRE(mCluster.AwaitServed());
  }

  std::string Node() const { return mCluster.CallerAddresses()[0]; }

  // When each event of the requests was logged, by event and tag, as its place
  // in the log.
  std::map<std::string, std::size_t> Events() const
  {
    std::map<std::string, std::size_t> events;
    const auto log = ReadRunLog(mCluster.RunLog());
    for (std::size_t i = 0; i < log.size(); ++i) {
      events[log[i].mEventName + " " + log[i].mTag] = i;
    }
    return events;
  }
  int Count(std::string_view aEvent) const
  {
    const auto log = ReadRunLog(mCluster.RunLog());
    return static_cast<int>(
      std::count_if(log.begin(), log.end(), [&](const auto& aEntry) {
        return aEntry.mEventName == aEvent && !aEntry.mTag.empty();
      }));
  }

  process_cluster mCluster;
};

std::string
Key(int aNumber)
{
  return absl::StrCat("/board/k", aNumber);
}

std::string
Work(int aMilliseconds)
{
  return absl::StrCat("X-Work-Ms: ", aMilliseconds, "\r\n");
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(pipelined_requests)

BOOST_AUTO_TEST_CASE(that_are_safe_run_side_by_side_and_are_answered_in_order)
{
  pipeline_cluster cluster(23500);
  pipelined_caller caller(cluster.Node());
  const instant start = boot_clock::now();
  for (int i = 0; i < 6; ++i) {
    caller.SendRequest(
      "GET", Key(i), absl::StrCat(i), Work(i == 0 ? 700 : 300));
  }
  for (int i = 0; i < 6; ++i) {
    const answer got = caller.Receive();
    BOOST_CHECK_EQUAL(got.mStatus, 200);
    BOOST_CHECK_EQUAL(got.mTag, absl::StrCat(i));
    BOOST_CHECK(got.mKeepsAlive);
  }
  // One after the other they would take 2.2 s.
  BOOST_CHECK_LT((boot_clock::now() - start).count(), 1'400'000);
  const auto events = cluster.Events();
  for (int i = 1; i < 6; ++i) {
    BOOST_CHECK_LT(events.at(absl::StrCat("end ", i)), events.at("end 0"));
  }
}

BOOST_AUTO_TEST_CASE(that_are_64_at_once_are_all_answered)
{
  pipeline_cluster cluster(23600);
  pipelined_caller caller(cluster.Node());
  for (int i = 0; i < 64; ++i) {
    caller.SendRequest("GET", Key(i % 9), absl::StrCat(i), Work(i % 7 * 5));
  }
  for (int i = 0; i < 64; ++i) {
    BOOST_CHECK_EQUAL(caller.Receive().mTag, absl::StrCat(i));
  }
}

BOOST_AUTO_TEST_CASE(that_are_not_safe_keep_their_place_and_run_alone)
{
  pipeline_cluster cluster(23700);
  pipelined_caller caller(cluster.Node());
  caller.SendRequest("GET", Key(1), "first", Work(200));
  caller.SendRequest("GET", Key(2), "second", Work(100));
  caller.Send("POST /board/k3 HTTP/1.1\r\nHost: a\r\nX-Tag: sized\r\n"
              "Content-Length: 3\r\n\r\nabc");
  caller.Send("POST /board/k4 HTTP/1.1\r\nHost: a\r\nX-Tag: chunked\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  caller.SendRequest("POST", Key(5), "empty", "Content-Length: 0\r\n");
  caller.SendRequest("GET", Key(6), "last");
  for (const char* tag :
       { "first", "second", "sized", "chunked", "empty", "last" }) {
    const answer got = caller.Receive();
    BOOST_CHECK_EQUAL(got.mStatus, 200);
    BOOST_CHECK_EQUAL(got.mTag, tag);
  }
  const auto events = cluster.Events();
  BOOST_CHECK_LT(events.at("end first"), events.at("begin sized"));
  BOOST_CHECK_LT(events.at("end second"), events.at("begin sized"));
  BOOST_CHECK_LT(events.at("end sized"), events.at("begin chunked"));
  BOOST_CHECK_LT(events.at("end chunked"), events.at("begin empty"));
  BOOST_CHECK_LT(events.at("end empty"), events.at("begin last"));
}

BOOST_AUTO_TEST_CASE(without_a_response_body_keep_the_framing)
{
  pipeline_cluster cluster(23800);
  pipelined_caller caller(cluster.Node());
  caller.SendRequest("GET", Key(1), "slow", Work(200));
  caller.SendRequest("HEAD", Key(2), "head");
  caller.SendRequest("GET", Key(3) + "?status=304", "unchanged");
  caller.SendRequest("GET", Key(4), "last");
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "slow");
  BOOST_CHECK_EQUAL(caller.Receive(true).mStatus, 200);
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 304);
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "last");
}

BOOST_AUTO_TEST_CASE(with_expect_continue_are_told_to_continue_in_their_turn)
{
  pipeline_cluster cluster(23900);
  pipelined_caller caller(cluster.Node());
  caller.SendRequest("GET", Key(1), "slow", Work(200));
  caller.Send("POST /board/k2 HTTP/1.1\r\nHost: a\r\nX-Tag: expecting\r\n"
              "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "slow");
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 100);
  caller.Send("abc");
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "expecting");
}

BOOST_AUTO_TEST_CASE(behind_a_refused_request_are_answered)
{
  pipeline_cluster cluster(24000);
  pipelined_caller caller(cluster.Node());
  caller.SendRequest("GET", Key(1), "slow", Work(200));
  caller.SendRequest("GET", "/nowhere", "unrouted");
  caller.SendRequest("GET", Key(2), "behind");
  caller.Send("nonsense\r\n\r\n");
  caller.SendRequest("GET", Key(3), "unread");
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "slow");
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 404);
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "behind");
  const answer malformed = caller.Receive();
  BOOST_CHECK_EQUAL(malformed.mStatus, 400);
  BOOST_CHECK(!malformed.mKeepsAlive);
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 0);
  BOOST_CHECK(!cluster.Events().contains("begin unread"));
}

BOOST_AUTO_TEST_CASE(behind_one_that_asks_for_a_close_are_not_run)
{
  pipeline_cluster cluster(24100);
  pipelined_caller caller(cluster.Node());
  caller.SendRequest("GET", Key(1), "slow", Work(200));
  caller.SendRequest("GET", Key(2), "closing", "Connection: close\r\n");
  caller.SendRequest("GET", Key(3), "unread");
  BOOST_CHECK_EQUAL(caller.Receive().mTag, "slow");
  const answer closing = caller.Receive();
  BOOST_CHECK_EQUAL(closing.mTag, "closing");
  BOOST_CHECK(!closing.mKeepsAlive);
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 0);
  BOOST_CHECK(!cluster.Events().contains("begin unread"));
}

BOOST_AUTO_TEST_CASE(
  behind_one_that_reaches_its_deadline_are_answered_before_it)
{
  pipeline_cluster cluster(24800);
  // Some of the keys belong to the node itself, others to its peers.
  for (int key = 0; key < 6; ++key) {
    pipelined_caller caller(cluster.Node());
    const instant sent = boot_clock::now();
    caller.SendRequest("GET",
                       Key(key),
                       "slow",
                       Work(5000) + "Plantaindale-Deadline-Ms: 800\r\n");
    caller.SendRequest("GET", Key(key + 1), "behind");
    BOOST_CHECK_EQUAL(caller.Receive().mStatus, 504);
    BOOST_CHECK_EQUAL(caller.Receive().mTag, "behind");
    BOOST_CHECK_LT((boot_clock::now() - sent).count(), 800'000);
  }
}

// More requests than run at the same time, so that some remain unread.
void
CheckThatLeavingCancels(int aBasePort, void (pipelined_caller::*aLeave)())
{
  pipeline_cluster cluster(aBasePort);
  pipelined_caller caller(cluster.Node());
  for (int i = 0; i < 60; ++i) {
    caller.SendRequest("GET", Key(i % 12), absl::StrCat(i), Work(5000));
  }
  std::this_thread::sleep_for(milliseconds(300));
  const int begun = cluster.Count("begin");
  BOOST_CHECK_GT(begun, 6);
  (caller.*aLeave)();
  std::this_thread::sleep_for(milliseconds(500));
  BOOST_CHECK_EQUAL(cluster.Count("cut"), begun);
  BOOST_CHECK_EQUAL(cluster.Count("begin"), begun);
  BOOST_CHECK_EQUAL(cluster.Count("end"), 0);
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 0);
  pipelined_caller next(cluster.Node());
  next.SendRequest("GET", Key(1), "next");
  BOOST_CHECK_EQUAL(next.Receive().mTag, "next");
}

BOOST_AUTO_TEST_CASE(of_a_caller_that_leaves_are_all_cancelled)
{
  CheckThatLeavingCancels(24300, &pipelined_caller::Close);
}

BOOST_AUTO_TEST_CASE(of_a_caller_that_resets_the_connection_are_all_cancelled)
{
  CheckThatLeavingCancels(24400, &pipelined_caller::Reset);
}

BOOST_AUTO_TEST_CASE(of_a_caller_that_half_closes_are_all_cancelled)
{
  CheckThatLeavingCancels(24200, &pipelined_caller::CloseSendingHalf);
}

BOOST_AUTO_TEST_CASE(that_were_passed_on_are_answered_in_a_planned_stop)
{
  pipeline_cluster cluster(24500);
  pipelined_caller caller(cluster.Node());
  for (int i = 0; i < 8; ++i) {
    caller.SendRequest("GET", Key(i), absl::StrCat(i), Work(800));
  }
  std::this_thread::sleep_for(milliseconds(150));
  const int begun = cluster.Count("begin");
  BOOST_CHECK_GT(begun, 0);
  cluster.mCluster.Terminate(0);
  answer last;
  for (int i = 0; i < begun; ++i) {
    last = caller.Receive();
    BOOST_CHECK_EQUAL(last.mStatus, 200);
    BOOST_CHECK_EQUAL(last.mTag, absl::StrCat(i));
  }
  // The node drains once it has announced that; then it closes the connection
  // with a response that says so.
  for (int i = 0; i < 100 && last.mKeepsAlive; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
    caller.SendRequest("GET", Key(1), absl::StrCat("late", i));
    last = caller.Receive();
    BOOST_CHECK_NE(last.mStatus, 0);
  }
  BOOST_CHECK(!last.mKeepsAlive);
  BOOST_CHECK_EQUAL(caller.Receive().mStatus, 0);
  BOOST_CHECK_EQUAL(cluster.mCluster.AwaitExit(0), 0);
}

BOOST_AUTO_TEST_CASE(behind_one_that_breaks_off_are_answered)
{
  constexpr std::size_t kAnswerBytes = 40'000;
  pipeline_cluster cluster(25750);
  const std::string whole = absl::StrCat("?bytes=", kAnswerBytes);
  for (int key = 0; key < 4; ++key) {
    pipelined_caller caller(cluster.Node());
    caller.SendRequest(
      "GET", absl::StrCat(Key(key), whole, "&break_after=20000"), "broken");
    for (int i = 0; i < 7; ++i) {
      caller.SendRequest("GET", Key(i) + whole, "behind");
    }
    BOOST_CHECK_EQUAL(caller.Receive().mStatus, 504);
    for (int i = 0; i < 7; ++i) {
      const answer behind = caller.Receive();
      BOOST_CHECK_EQUAL(behind.mStatus, 200);
      BOOST_CHECK_EQUAL(behind.mBodyBytes, kAnswerBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(behind_a_slow_one_are_held_within_a_bound_of_memory)
{
  constexpr int kCallers = 30;
  constexpr std::size_t kAnswerBytes = 1'000'000;
  pipeline_cluster cluster(24600, 200);
  const pid_t node = cluster.mCluster.NodeProcess(0);
  std::vector<std::unique_ptr<pipelined_caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<pipelined_caller>(cluster.Node()));
  }
  const double before = bench::UsageOf(node).mResidentMb;
  for (const auto& caller : callers) {
    caller->SendRequest("GET", Key(1), "slow", Work(1500));
    for (int i = 0; i < 4; ++i) {
      caller->SendRequest(
        "GET", absl::StrCat(Key(i), "?bytes=", kAnswerBytes), "large");
    }
  }
  std::this_thread::sleep_for(milliseconds(1200));
  // Without a bound, 120 MB would be held here.
  BOOST_CHECK_LT(bench::UsageOf(node).mResidentMb - before, 25);
  for (const auto& caller : callers) {
    BOOST_CHECK_EQUAL(caller->Receive().mTag, "slow");
    for (int i = 0; i < 4; ++i) {
      BOOST_CHECK_EQUAL(caller->Receive().mBodyBytes, kAnswerBytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
