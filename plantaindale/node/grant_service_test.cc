#include "plantaindale/node/grant_service.h"

#include <algorithm>
#include <functional>
#include <map>
#include <thread>

#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/node/default_server_protocol.h"
#include "plantaindale/shards/shard_page.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr int kShards = 4; // as configured below
constexpr milliseconds kLease{ 1000 };

// One grant or release that a process has got.
struct received_call
{
  std::string mTarget;
  std::int64_t mFrom = 0;
  std::int64_t mTo = 0;
  std::int64_t mFence = 0;
  int mConnection = 0; // of this process
};

// A process of a backend server, on fibers of the test's thread. It listens
// until it is destroyed, which also closes its connections.
class server_process
{
public:
  server_process(asio::io_context& aContext, const std::string& aAddress)
    : mState(std::make_shared<state>(aContext))
  {
    BOOST_REQUIRE(BindListener(mState->mListener, aAddress).ok());
    boost::fibers::fiber([state = mState] { Accept(state); }).detach();
  }
  ~server_process()
  {
    mState->mListener.close();
    CloseConnections();
    boost::this_fiber::sleep_for(milliseconds(5));
  }

  void CloseConnections()
  {
    for (const auto& stream : mState->mStreams) {
      boost::system::error_code ignored;
      stream->socket().shutdown(tcp_socket::shutdown_both, ignored);
    }
    mState->mStreams.clear();
    boost::this_fiber::sleep_for(milliseconds(5));
  }
  std::string Address() const
  {
    return ToText(mState->mListener.local_endpoint());
  }
  const std::vector<received_call>& Calls() const { return mState->mCalls; }
  void SetStatus(unsigned aStatus) { mState->mStatus = aStatus; }

private:
  struct state
  {
    explicit state(asio::io_context& aContext)
      : mContext(aContext)
      , mListener(aContext)
    {
    }
    asio::io_context& mContext;
    asio::ip::tcp::acceptor mListener;
    std::vector<std::shared_ptr<tcp_stream>> mStreams;
    std::vector<received_call> mCalls;
    unsigned mStatus = 200;
    int mConnections = 0;
  };

  static void Accept(const std::shared_ptr<state>& aState)
  {
    for (;;) {
      tcp_socket socket(aState->mContext);
      const io_result accepted = AwaitIo([&](auto aHandler) {
        aState->mListener.async_accept(socket, std::move(aHandler));
      });
      if (accepted.mError) {
        return;
      }
      auto stream = std::make_shared<tcp_stream>(std::move(socket));
      aState->mStreams.push_back(stream);
      const int connection = ++aState->mConnections;
      boost::fibers::fiber([aState, stream, connection] {
        Serve(*aState, *stream, connection);
      }).detach();
    }
  }

  static void Serve(state& aState, tcp_stream& aStream, int aConnection)
  {
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request<http::string_body> request;
      const io_result read = AwaitIo([&](auto aHandler) {
        http::async_read(aStream, buffer, request, std::move(aHandler));
      });
      if (read.mError) {
        return;
      }
      const auto body = boost::json::parse(request.body());
      aState.mCalls.push_back({ request.target(),
                                body.at("from").as_int64(),
                                body.at("to").as_int64(),
                                body.at("fence").as_int64(),
                                aConnection });
      http::response<http::string_body> answer;
      answer.result(aState.mStatus);
      answer.keep_alive(request.keep_alive());
      answer.prepare_payload();
      const io_result written = AwaitIo([&](auto aHandler) {
        http::async_write(aStream, answer, std::move(aHandler));
      });
      if (written.mError || !request.keep_alive()) {
        return;
      }
    }
  }

  std::shared_ptr<state> mState;
};

cluster_view
ViewWithOwner(const node_identity& aOwner, std::int64_t aEpoch)
{
  shard_page page = MakeEmptyPage("board", 0, kShards);
  for (shard_entry& entry : page.mEntries) {
    entry = { aOwner, aEpoch };
  }
  object_delta store;
  store.to_revision = 2;
  const auto add =
    [&](std::string_view aKind, const std::string& aName, std::string aBody) {
      stored_object object;
      object.kind = std::string(aKind);
      object.name = aName;
      object.revision = static_cast<std::int64_t>(store.objects.size()) + 1;
      object.body = std::move(aBody);
      store.objects.push_back(object);
    };
  add(kConfigurationKind,
      std::string(kConfigurationName),
      R"({"number":1,"patch_id":"","history":[],"document":{"services":)"
      R"({"board":{"key":{"header":"Key","numbers":16},"shards":4}}}})");
  add(kShardPageKind, PageName("board", 0), Serialize(page));
  cluster_view view;
  view.Apply(store, boot_clock::now());
  return view;
}

// A grant service that owns all shards and whose server runs at one address.
class granting_node
{
public:
  granting_node(asio::io_context& aContext, instant aFormerHoldUntil)
    : mContext(aContext)
    , mService(
        aContext,
        mProtocol,
        mRoutingState,
        [this](std::vector<shard_id> aShards, const std::string&) {
          mReleased += static_cast<int>(aShards.size());
        },
        [this] { ++mRefused; },
        [this] { ++mUsedUp; },
        aFormerHoldUntil)
  {
    mProcess = std::make_unique<server_process>(mContext, "127.0.0.1:0");
    mServer.mService = "board";
    mServer.mAddress = mProcess->Address();
    mServer.mInstance = "i-1";
    mServer.mStartedAt = 1;
    mServer.mKeepsGrants = true;
  }

  // Tells the service of the server, as this start of it.
  void Announce() { Announce(grant_binding(mServer, mSelf)); }
  void Announce(const grant_binding& aBinding)
  {
    mLeaseUntil = boot_clock::now() + kLease;
    mService.Update(aBinding, ViewWithOwner(mSelf, mEpoch), {}, mLeaseUntil);
  }
  // Sends what is due, as much later as the lease is extended then.
  void Renew()
  {
    mLeaseUntil += milliseconds(300);
    mService.ExtendLease(mLeaseUntil);
    mService.SendDue();
  }
  // The process ends; nothing listens at its address.
  void EndProcess() { mProcess.reset(); }
  // Another process listens there, of which the service is not told.
  void StartProcess()
  {
    mProcess = std::make_unique<server_process>(mContext, mServer.mAddress);
  }

  asio::io_context& mContext;
  default_server_protocol mProtocol;
  routing_state mRoutingState;
  node_identity mSelf = MakeIdentity("n1", 1);
  std::int64_t mEpoch = 7;
  instant mLeaseUntil = kNever;
  announced_server mServer;
  std::unique_ptr<server_process> mProcess;
  int mReleased = 0; // shards
  int mRefused = 0;  // connections
  int mUsedUp = 0;   // calls that a new incarnation is needed
  grant_service mService;
};

// Runs `aBody` on a thread with fibers.
void
WithNode(const std::function<void(granting_node&)>& aBody,
         instant aFormerHoldUntil = kNever)
{
  asio::io_context context(1);
  std::exception_ptr failure;
  std::thread([&] {
    InstallFiberScheduler(context);
    granting_node node(context, aFormerHoldUntil);
    try {
      aBody(node);
    } catch (...) {
      failure = std::current_exception();
    }
    node.EndProcess();
  }).join();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

BOOST_AUTO_TEST_SUITE(grants_to_the_local_server)

BOOST_AUTO_TEST_SUITE(when_another_process_is_at_its_address)

std::int64_t
HighestFence(const std::vector<received_call>& aCalls)
{
  std::int64_t highest = 0;
  for (const received_call& call : aCalls) {
    highest = std::max(highest, call.mFence);
  }
  return highest;
}

// A successor at the same address that the node has not heard of yet must never
// get a key under a fence that the former start had.
BOOST_AUTO_TEST_CASE(restarted_server_gets_no_fence_that_the_former_start_had)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    std::int64_t former = HighestFence(aNode.mProcess->Calls());
    BOOST_REQUIRE_GT(former, 0);
    for (int restarts = 0; restarts < 3; ++restarts) {
      aNode.EndProcess();
      aNode.StartProcess();
      aNode.Renew();
      const auto& calls = aNode.mProcess->Calls();
      BOOST_REQUIRE(!calls.empty());
      for (const received_call& call : calls) {
        BOOST_CHECK_GT(call.mFence, former);
      }
      former = HighestFence(calls);
    }
  });
}

BOOST_AUTO_TEST_CASE(same_process_sees_fences_rise_when_it_closes_connections)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.Renew();
    aNode.mProcess->CloseConnections();
    aNode.Renew();
    const auto& calls = aNode.mProcess->Calls();
    BOOST_REQUIRE_EQUAL(calls.size(), 3u);
    BOOST_CHECK_EQUAL(calls[1].mFence, calls[0].mFence);
    BOOST_CHECK_EQUAL(calls[1].mConnection, 1);
    BOOST_CHECK_GT(calls[2].mFence, calls[1].mFence);
  });
}

// A server that is lost for a while and then back, as the same start, may have
// been another process meanwhile.
BOOST_AUTO_TEST_CASE(numbers_of_connections_continue_when_the_server_is_back)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    const std::int64_t former = HighestFence(aNode.mProcess->Calls());
    aNode.mService.Update(std::nullopt, cluster_view(), {}, kNever);
    aNode.EndProcess();
    aNode.StartProcess();
    aNode.Announce();
    aNode.mService.SendDue();
    BOOST_REQUIRE(!aNode.mProcess->Calls().empty());
    BOOST_CHECK_GT(aNode.mProcess->Calls()[0].mFence, former);
  });
}

BOOST_AUTO_TEST_CASE(new_incarnation_is_requested_when_numbers_are_used_up)
{
  WithNode([](granting_node& aNode) {
    grant_binding last(aNode.mServer, aNode.mSelf);
    for (int i = 0; i < grant_binding::kMaxConnections; ++i) {
      last.AddConnection();
    }
    aNode.Announce(last);
    aNode.mService.SendDue();
    BOOST_CHECK_EQUAL(aNode.mProcess->Calls().size(), 0u);
    BOOST_CHECK_EQUAL(aNode.mUsedUp, 1);
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() == kNever);
    aNode.mSelf.incarnation = 2;
    aNode.mEpoch = 8;
    aNode.Announce();
    std::this_thread::sleep_for(milliseconds(110)); // the pause after a failure
    aNode.mService.SendDue();
    BOOST_REQUIRE_EQUAL(aNode.mProcess->Calls().size(), 1u);
  });
}

// Guards against two servers that hold a key: the former process of a node that
// has restarted granted it, and the present one releases it ungranted.
BOOST_AUTO_TEST_CASE(release_of_an_ungranted_shard_waits_for_former_grants)
{
  const instant former_hold_until = boot_clock::now() + milliseconds(300);
  WithNode(
    [&](granting_node& aNode) {
      aNode.Announce();
      aNode.mService.Release({ { "board", 0 } });
      boost::this_fiber::sleep_until(former_hold_until - milliseconds(50));
      BOOST_CHECK_EQUAL(aNode.mReleased, 0);
      boost::this_fiber::sleep_until(former_hold_until + milliseconds(100));
      BOOST_CHECK_EQUAL(aNode.mReleased, 1);
    },
    former_hold_until);
}

BOOST_AUTO_TEST_CASE(release_carries_the_highest_fence_sent)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.mProcess->CloseConnections();
    aNode.Renew();
    const std::int64_t highest = HighestFence(aNode.mProcess->Calls());
    aNode.mService.Release({ { "board", 0 }, { "board", 1 } });
    boost::this_fiber::sleep_for(milliseconds(100));
    const received_call& release = aNode.mProcess->Calls().back();
    BOOST_CHECK_EQUAL(release.mTarget, "/plantaindale/release");
    BOOST_CHECK_EQUAL(release.mFence, highest);
    BOOST_CHECK_EQUAL(aNode.mReleased, 2);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_nothing_listens_at_its_address)

// The shards of a server that has ended would neither be served nor given away.
BOOST_AUTO_TEST_CASE(refused_connection_is_reported_and_ends_what_it_holds)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.EndProcess();
    aNode.Renew();
    BOOST_CHECK_EQUAL(aNode.mRefused, 1);
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() == kNever);
  });
}

// Such a server may hold its keys while it finishes its work.
BOOST_AUTO_TEST_CASE(leaving_server_that_stops_listening_may_hold_its_keys)
{
  WithNode([](granting_node& aNode) {
    aNode.mServer.mIsLeaving = true;
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.EndProcess();
    aNode.Renew();
    BOOST_CHECK_EQUAL(aNode.mRefused, 1);
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() > boot_clock::now());
  });
}

// The process may be alive and hold its keys.
BOOST_AUTO_TEST_CASE(connection_that_times_out_is_not_reported)
{
  WithNode([](granting_node& aNode) {
    // A listener with a full queue answers no more connections.
    asio::ip::tcp::acceptor full(aNode.mContext, asio::ip::tcp::v4());
    full.bind({ asio::ip::address_v4::loopback(), 0 });
    full.listen(0);
    asio::ip::tcp::socket waiting(aNode.mContext);
    waiting.connect(full.local_endpoint());
    aNode.mServer.mAddress = ToText(full.local_endpoint());
    aNode.Announce();
    aNode.mService.SendDue();
    BOOST_CHECK_EQUAL(aNode.mRefused, 0);
  });
}

// What a later server may hold must not replace what an earlier one may.
BOOST_AUTO_TEST_CASE(release_waits_for_what_a_lost_server_may_hold)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    const instant held_until = aNode.mService.Ledger().AnyMayHoldUntil();
    aNode.mService.Update(std::nullopt, cluster_view(), {}, kNever);
    aNode.mServer.mInstance = "i-2";
    aNode.Announce();
    aNode.mService.Update(std::nullopt, cluster_view(), {}, kNever);
    aNode.mService.Release({ { "board", 0 } });
    boost::this_fiber::sleep_for(milliseconds(200));
    BOOST_CHECK_EQUAL(aNode.mReleased, 0);
    boost::this_fiber::sleep_for(held_until - boot_clock::now() +
                                 milliseconds(50));
    BOOST_CHECK_EQUAL(aNode.mReleased, 1);
  });
}

// A shard that goes to another node must not be granted again meanwhile.
BOOST_AUTO_TEST_CASE(shard_under_release_is_not_granted_when_the_server_is_back)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.mService.Update(std::nullopt, cluster_view(), {}, kNever);
    const shard_id released{ "board", 0 };
    aNode.mService.Release({ released });
    const std::size_t calls = aNode.mProcess->Calls().size();
    aNode.mService.Update(grant_binding(aNode.mServer, aNode.mSelf),
                          ViewWithOwner(aNode.mSelf, aNode.mEpoch),
                          { released },
                          boot_clock::now() + kLease);
    aNode.mService.SendDue();
    const auto& grants = aNode.mProcess->Calls();
    BOOST_REQUIRE_EQUAL(grants.size(), calls + 1);
    BOOST_CHECK_GT(grants.back().mFrom, grants.front().mFrom);
    BOOST_CHECK_EQUAL(grants.back().mTo, grants.front().mTo);
  });
}

// A server that can't be reached must not seem to hold its keys for as long as
// grants to it are tried.
BOOST_AUTO_TEST_CASE(refused_connection_does_not_extend_what_it_may_hold)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    BOOST_REQUIRE_EQUAL(aNode.mProcess->Calls().size(), 1u);
    aNode.EndProcess();
    aNode.Renew();
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() == kNever);
    BOOST_CHECK(aNode.mRoutingState.HeldShards()->mRanges.empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_another_client_was_refused_at_its_address)

BOOST_AUTO_TEST_CASE(server_that_has_ended_is_reported_at_once)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.EndProcess();
    aNode.mService.SendDue(); // nothing is due
    BOOST_CHECK_EQUAL(aNode.mRefused, 0);
    aNode.mService.VerifyServer();
    aNode.mService.SendDue();
    BOOST_CHECK_EQUAL(aNode.mRefused, 1);
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() == kNever);
  });
}

// Its keys must not be given away while it holds them.
BOOST_AUTO_TEST_CASE(server_that_listens_keeps_what_it_holds)
{
  WithNode([](granting_node& aNode) {
    aNode.Announce();
    aNode.mService.SendDue();
    aNode.mService.VerifyServer();
    aNode.mService.SendDue();
    BOOST_CHECK_EQUAL(aNode.mRefused, 0);
    BOOST_CHECK(aNode.mService.Ledger().AnyMayHoldUntil() > boot_clock::now());
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
