#include "plantaindale/request/crash_guard.h"

#include <future>
#include <thread>

#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/caller_problem.h"
#include "plantaindale/request/crashing_server.h"
#include "plantaindale/request/peer_server.h"
#include "plantaindale/request/request_router.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/fiber/future.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An address at which nothing listens.
std::string
FreeAddress(asio::io_context& aContext)
{
  const asio::ip::tcp::acceptor taken(aContext,
                                      { asio::ip::address_v4::loopback(), 0 });
  return ToText(taken.local_endpoint());
}

// The router of a node where requests enter, and a node with a backend server,
// on one thread.
class node_parts
{
public:
  explicit node_parts(asio::io_context& aContext)
    : mServer(aContext)
    , mExecutor(
        aContext,
        mState,
        mNames,
        [this] { ++mNoServer; },
        [](const std::string&) {},
        { [this](server_end aEnd) { mEnds.push_back(std::move(aEnd)); },
          [this](const request_fingerprint& aFingerprint) {
            mCompleted.push_back(aFingerprint);
          } })
    , mPeerServer(aContext, mExecutor)
    , mPeers(aContext)
    , mRouter(mEntryState, mExecutor, mPeers, retry_limits(), 1)
  {
    node_record record;
    record.mIdentity.name = "n1";
    record.mIdentity.incarnation = 1;
    record.mAddresses.mPeer = FreeAddress(aContext);
    record.mServer = mServer.Announcement();
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->mNodes = std::make_shared<const cluster_view::node_map>(
      cluster_view::node_map{ { record.mIdentity.name, record } });
    mEntryState.Publish(std::move(snapshot));
    mState.Publish(std::make_shared<routing_snapshot>());
    mExecutor.SetServer(mServer.Announcement(), instant::max());
    BOOST_REQUIRE(mPeerServer.Listen(record.mAddresses.mPeer).ok());
  }

  static routed_request MakeRequest(std::string_view aTarget)
  {
    routed_request request;
    request.mHead.service_name = "stock";
    request.mHead.shard = -1;
    request.mHead.method = "GET";
    request.mHead.target = aTarget;
    request.mCaller = "web";
    request.mIsIdempotent = true;
    request.mDeadline = boot_clock::now() + seconds(1);
    request.mTarget = request.mDeadline;
    return request;
  }

  static request_fingerprint FingerprintOfTarget(std::string_view aTarget)
  {
    return FingerprintOf(MakeRequest(aTarget).mHead, "web", "");
  }

  request_result Request(std::string_view aTarget)
  {
    routed_request request = MakeRequest(aTarget);
    memory_body body("");
    unused_sink sink;
    cancellation cancelled;
    return mRouter.Run(request, "", body, sink, cancelled);
  }

  // Publishes a verdict at the server's node.
  void Judge(std::string_view aTarget, int aEnds, instant aRefusedUntil)
  {
    crash_verdicts::standing_map standings;
    standings[FingerprintOfTarget(aTarget)] = { aEnds, aRefusedUntil };
    mState.PublishCrashVerdicts(
      std::make_shared<const crash_verdicts>(std::move(standings)));
  }

  // Publishes the verdict at the node where requests enter too.
  void SpreadVerdicts()
  {
    mEntryState.PublishCrashVerdicts(mState.CrashVerdicts());
  }

  routing_state mEntryState;
  routing_state mState; // of the server's node
  http_header_names mNames;
  crashing_server mServer;
  int mNoServer = 0;
  std::vector<server_end> mEnds;
  std::vector<request_fingerprint> mCompleted;
  local_executor mExecutor;
  peer_server mPeerServer;
  peer_client mPeers;
  request_router mRouter;
};

// Runs the test on a thread with a fiber scheduler. The thread, with its
// objects, lives until the process exits, as the traffic thread does.
void
WithNode(const std::function<void(node_parts&)>& aTest)
{
  std::promise<void> done;
  std::thread([&done, &aTest] {
    asio::io_context context(1);
    InstallFiberScheduler(context);
    node_parts node(context);
    aTest(node);
    node.mServer.End();
    done.set_value();
    boost::fibers::promise<void> never;
    never.get_future().wait();
  }).detach();
  done.get_future().wait();
}

void
AwaitRun(const node_parts& aNode, std::string_view aTarget)
{
  while (aNode.mServer.RunsOf(aTarget) == 0) {
    boost::this_fiber::sleep_for(milliseconds(1));
  }
}

BOOST_AUTO_TEST_SUITE(requests_that_end_servers)

BOOST_AUTO_TEST_SUITE(when_the_server_ends)

BOOST_AUTO_TEST_CASE(the_node_does_not_try_the_request_again)
{
  WithNode([](node_parts& aNode) {
    boost::fibers::fiber restart([&] {
      while (aNode.mServer.IsRunning()) {
        boost::this_fiber::sleep_for(milliseconds(1));
      }
      boost::this_fiber::sleep_for(crashing_server::kSlowTime);
      aNode.mServer.Start();
      aNode.mExecutor.SetServer(aNode.mServer.Announcement(), instant::max());
    });
    const request_result result = aNode.Request("/crash");
    restart.join();
    BOOST_CHECK(result.mKind == outcome_kind::unknown);
    BOOST_CHECK_EQUAL(result.mStep, kServerEndedStep);
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/crash"), 1);
    BOOST_CHECK_EQUAL(aNode.mNoServer, 1);
  });
}

BOOST_AUTO_TEST_CASE(exactly_the_running_requests_are_suspects)
{
  WithNode([](node_parts& aNode) {
    aNode.Request("/before");
    const std::string instance = aNode.mServer.Announcement().mInstance;
    boost::fibers::fiber stuck([&] {
      BOOST_CHECK_EQUAL(aNode.Request("/stuck").mStep, kServerEndedStep);
    });
    AwaitRun(aNode, "/stuck");
    BOOST_CHECK(aNode.Request("/quick").IsAnswered());
    aNode.Request("/crash");
    stuck.join();
    BOOST_REQUIRE_EQUAL(aNode.mEnds.size(), 1u);
    const server_end& end = aNode.mEnds[0];
    BOOST_CHECK_EQUAL(end.mInstance, instance);
    std::set<std::string> targets;
    for (const interrupted_run& run : end.mRuns) {
      targets.insert(run.mTarget);
      BOOST_CHECK(run.mFingerprint ==
                  node_parts::FingerprintOfTarget(run.mTarget));
    }
    BOOST_CHECK(targets == (std::set<std::string>{ "/crash", "/stuck" }));
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_server_lives)

BOOST_AUTO_TEST_CASE(a_reset_request_is_tried_again_and_not_reported)
{
  WithNode([](node_parts& aNode) {
    BOOST_CHECK(aNode.Request("/reset").IsAnswered());
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/reset"), 2);
    BOOST_CHECK(aNode.mEnds.empty());
    BOOST_CHECK_EQUAL(aNode.mNoServer, 0);
  });
}

BOOST_AUTO_TEST_CASE(an_earlier_reset_is_no_suspect_of_its_end)
{
  WithNode([](node_parts& aNode) {
    aNode.Request("/reset");
    aNode.Request("/crash");
    BOOST_REQUIRE_EQUAL(aNode.mEnds.size(), 1u);
    BOOST_REQUIRE_EQUAL(aNode.mEnds[0].mRuns.size(), 1u);
    BOOST_CHECK_EQUAL(aNode.mEnds[0].mRuns[0].mTarget, "/crash");
  });
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_is_not_reported)
{
  WithNode([](node_parts& aNode) {
    routed_request request = node_parts::MakeRequest("/stuck");
    request.mHead.fingerprint =
      ToBytes(node_parts::FingerprintOfTarget("/stuck"));
    request.mHead.target_us = 1'000'000;
    memory_body body("");
    unused_sink sink;
    cancellation cancelled;
    boost::fibers::fiber caller([&] {
      AwaitRun(aNode, "/stuck");
      cancelled.Cancel();
      aNode.mServer.End();
    });
    aNode.mExecutor.Run(
      request.mHead, request.mDeadline, body, sink, cancelled);
    caller.join();
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/stuck"), 1);
    BOOST_CHECK(aNode.mEnds.empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_verdict_is_in_force)

BOOST_AUTO_TEST_CASE(the_request_is_refused_at_once_and_not_run)
{
  WithNode([](node_parts& aNode) {
    aNode.Judge("/crash", 3, boot_clock::now() + seconds(30));
    aNode.SpreadVerdicts();
    const instant began = boot_clock::now();
    const request_result result = aNode.Request("/crash");
    BOOST_CHECK(boot_clock::now() - began < milliseconds(500));
    BOOST_CHECK(result.mKind == outcome_kind::not_run);
    BOOST_CHECK_EQUAL(result.mStep, kCrashesServersStep);
    BOOST_CHECK(!result.mWasSent);
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/crash"), 0);
    aNode.mNames.mOutcome = "X-Outcome";
    const auto answer = MakeResponse(ProblemOf(result), aNode.mNames);
    BOOST_CHECK_EQUAL(answer.result_int(), 503u);
    BOOST_CHECK_EQUAL(answer["Retry-After"], "30");
    BOOST_CHECK_EQUAL(answer["X-Outcome"], "not-run");
    BOOST_CHECK(aNode.Request("/quick").IsAnswered());
  });
}

BOOST_AUTO_TEST_CASE(the_servers_node_refuses_what_another_node_lets_pass)
{
  WithNode([](node_parts& aNode) {
    aNode.Judge("/crash", 3, boot_clock::now() + seconds(30));
    const instant began = boot_clock::now();
    const request_result result = aNode.Request("/crash");
    BOOST_CHECK(boot_clock::now() - began < milliseconds(500));
    BOOST_CHECK(result.mKind == outcome_kind::not_run);
    BOOST_CHECK_EQUAL(result.mStep, kCrashesServersStep);
    BOOST_CHECK(result.mRefusedFor >= seconds(1));
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/crash"), 0);
  });
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_for_a_slot_is_refused_too)
{
  WithNode([](node_parts& aNode) {
    announced_server server = aNode.mServer.Announcement();
    server.mSlots = 1;
    aNode.mExecutor.SetServer(server, instant::max());
    boost::fibers::fiber before([&] { aNode.Request("/slow"); });
    AwaitRun(aNode, "/slow");
    boost::fibers::fiber judge([&] {
      while (aNode.mExecutor.Limiter().Waiting() == 0) {
        boost::this_fiber::sleep_for(milliseconds(1));
      }
      aNode.Judge("/crash", 3, boot_clock::now() + seconds(30));
    });
    const request_result result = aNode.Request("/crash");
    before.join();
    judge.join();
    BOOST_CHECK_EQUAL(result.mStep, kCrashesServersStep);
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/crash"), 0);
  });
}

BOOST_AUTO_TEST_CASE(a_request_whose_body_comes_late_is_refused_too)
{
  class late_body : public body_source
  {
  public:
    explicit late_body(const std::function<void()>& aOnRead)
      : mOnRead(aOnRead)
    {
    }
    absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
    {
      mOnRead();
      return mRest.Read(aBuffer);
    }

  private:
    const std::function<void()>& mOnRead;
    memory_body mRest{ "body" };
  };
  WithNode([](node_parts& aNode) {
    protocol::request_head head = node_parts::MakeRequest("/late").mHead;
    head.fingerprint = ToBytes(node_parts::FingerprintOfTarget("/late"));
    head.body_bytes = 4;
    head.target_us = 1'000'000;
    const std::function<void()> judge = [&] {
      aNode.Judge("/late", 3, boot_clock::now() + seconds(30));
    };
    late_body body(judge);
    unused_sink sink;
    cancellation cancelled;
    const request_result result = aNode.mExecutor.Run(
      head, boot_clock::now() + seconds(1), body, sink, cancelled);
    BOOST_CHECK(result.mKind == outcome_kind::not_run);
    BOOST_CHECK_EQUAL(result.mStep, kCrashesServersStep);
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/late"), 0);
  });
}

BOOST_AUTO_TEST_CASE(an_attempt_that_may_have_run_stays_unknown)
{
  WithNode([](node_parts& aNode) {
    aNode.mServer.mOnRequest = [&](std::string_view aTarget) {
      aNode.Judge(aTarget, 3, boot_clock::now() + seconds(30));
    };
    const request_result result = aNode.Request("/reset");
    BOOST_CHECK(result.mKind == outcome_kind::unknown);
    BOOST_CHECK(result.mStep != kCrashesServersStep);
    BOOST_CHECK_EQUAL(aNode.mServer.RunsOf("/reset"), 1);
  });
}

BOOST_AUTO_TEST_CASE(it_runs_again_after_the_end_of_the_verdict)
{
  WithNode([](node_parts& aNode) {
    aNode.Judge("/quick", 3, boot_clock::now() + milliseconds(200));
    BOOST_CHECK_EQUAL(aNode.Request("/quick").mStep, kCrashesServersStep);
    boost::this_fiber::sleep_for(milliseconds(210));
    BOOST_CHECK(aNode.Request("/quick").IsAnswered());
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_two_suspects_are_one_end_away_from_a_verdict)

BOOST_AUTO_TEST_CASE(the_one_that_did_not_end_the_server_has_not_run)
{
  WithNode([](node_parts& aNode) {
    crash_verdicts::standing_map standings;
    for (const std::string_view target : { "/crash", "/quick" }) {
      standings[node_parts::FingerprintOfTarget(target)] = { 2, kNever };
    }
    aNode.mState.PublishCrashVerdicts(
      std::make_shared<const crash_verdicts>(std::move(standings)));
    boost::fibers::fiber deadly([&] { aNode.Request("/crash"); });
    boost::this_fiber::yield();
    const request_result result = aNode.Request("/quick");
    deadly.join();
    BOOST_CHECK(result.mKind == outcome_kind::not_run);
    BOOST_REQUIRE_EQUAL(aNode.mEnds.size(), 1u);
    BOOST_REQUIRE_EQUAL(aNode.mEnds[0].mRuns.size(), 1u);
    BOOST_CHECK_EQUAL(aNode.mEnds[0].mRuns[0].mTarget, "/crash");
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_suspect_gets_its_response)

BOOST_AUTO_TEST_CASE(a_failure_of_the_server_does_not_clear_it)
{
  WithNode([](node_parts& aNode) {
    aNode.Judge("/failing", 2, kNever);
    BOOST_CHECK(aNode.Request("/failing").IsAnswered());
    BOOST_CHECK(aNode.mCompleted.empty());
  });
}

BOOST_AUTO_TEST_CASE(that_is_reported_at_a_bounded_rate)
{
  WithNode([](node_parts& aNode) {
    aNode.Request("/quick");
    BOOST_CHECK(aNode.mCompleted.empty());
    aNode.Judge("/quick", 1, kNever);
    const instant began = boot_clock::now();
    aNode.Request("/quick");
    aNode.Request("/quick");
    aNode.Request("/slow");
    const auto intervals = (boot_clock::now() - began) / milliseconds(200);
    BOOST_REQUIRE(!aNode.mCompleted.empty());
    BOOST_CHECK_LE(aNode.mCompleted.size(),
                   static_cast<std::size_t>(1 + intervals));
    BOOST_CHECK(aNode.mCompleted[0] ==
                node_parts::FingerprintOfTarget("/quick"));
    boost::this_fiber::sleep_for(milliseconds(200));
    const std::size_t before = aNode.mCompleted.size();
    aNode.Request("/quick");
    BOOST_CHECK_EQUAL(aNode.mCompleted.size(), before + 1);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
