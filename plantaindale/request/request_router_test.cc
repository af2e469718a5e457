#include "plantaindale/request/request_router.h"

#include <thread>

#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What becomes of a request of the service `board`, whose only server is in an
// evacuated failure domain, and how long that takes.
std::pair<request_result, duration>
RouteDuringEvacuation(bool aIsKeyed)
{
  std::pair<request_result, duration> routed;
  boost::asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    node_record record;
    record.mIdentity = MakeIdentity("n1", 1);
    record.mServer.emplace().mService = "board";
    record.mIsEvacuated = true;
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->mHasEvacuations = true;
    snapshot->mNodes = std::make_shared<const cluster_view::node_map>(
      cluster_view::node_map{ { "n1", record } });
    routing_state state;
    state.Publish(std::move(snapshot));
    const http_header_names names;
    local_executor executor(
      context, state, names, [] {}, [](const std::string&) {});
    peer_client peers(context);
    request_router router(state, executor, peers, retry_limits(), 1);
    routed_request request;
    request.mHead.service_name = "board";
    request.mHead.shard = aIsKeyed ? 1 : -1;
    request.mIsKeyed = aIsKeyed;
    const instant start = boot_clock::now();
    request.mDeadline = start + seconds(5);
    request.mTarget = request.mDeadline;
    memory_body body("");
    unused_sink sink;
    cancellation cancelled;
    routed.first = router.Run(request, "", body, sink, cancelled);
    routed.second = boot_clock::now() - start;
  }).join();
  return routed;
}

BOOST_AUTO_TEST_SUITE(requests_for_a_service_that_is_evacuated_whole)

BOOST_AUTO_TEST_CASE(are_refused_at_once_as_not_run)
{
  for (const bool is_keyed : { false, true }) {
    const auto [result, took] = RouteDuringEvacuation(is_keyed);
    BOOST_CHECK(result.mKind == outcome_kind::not_run);
    BOOST_CHECK_EQUAL(result.mStep, kEvacuatedStep);
    BOOST_CHECK(result.mRefusedFor > duration(0));
    BOOST_CHECK(took < milliseconds(500));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
