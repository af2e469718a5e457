#include "plantaindale/request/backend_client.h"

#include <poll.h>

#include <functional>
#include <future>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/net/endless_writer.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/request/request_result.h"
#include "plantaindale/request/routing_snapshot.h"
#include "plantaindale/request/server_report.h"
#include "plantaindale/request/unused_sink.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

constexpr duration kRequestTime = std::chrono::milliseconds(500);

class recording_sink : public response_sink
{
public:
  absl::Status Ready() override { return absl::OkStatus(); }
  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mStatus = aHead.status;
    return absl::OkStatus();
  }
  absl::Status Body(std::span<const char> aBytes) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return absl::OkStatus();
  }

  int mStatus = 0;
  std::string mBody;
};

// Whether the socket becomes readable within `aTime`.
bool
HasInputWithin(int aSocket, std::chrono::milliseconds aTime)
{
  pollfd readable{ aSocket, POLLIN, 0 };
  return poll(&readable, 1, static_cast<int>(aTime.count())) > 0;
}

// The server's side of one connection.
class scripted_connection
{
public:
  explicit scripted_connection(asio::ip::tcp::acceptor& aAcceptor)
    : mSocket(aAcceptor.accept())
  {
  }
  void ReadRequest()
  {
    mInput.consume(asio::read_until(mSocket, mInput, "\r\n\r\n"));
  }
  void Write(std::string_view aBytes)
  {
    asio::write(mSocket, asio::buffer(aBytes.data(), aBytes.size()));
  }
  // See endless_writer.h.
  std::size_t WriteWithoutEnd() { return WriteUntilClosed(mSocket, "a"); }
  // Whether bytes, or the end of the connection, arrive within `aTime`.
  bool HasInputWithin(std::chrono::milliseconds aTime)
  {
    return plantaindale::HasInputWithin(mSocket.native_handle(), aTime);
  }
  // Reads the next request; false if the peer closes the connection first.
  bool IsUsedAgain()
  {
    boost::system::error_code error;
    mInput.consume(asio::read_until(mSocket, mInput, "\r\n\r\n", error));
    return !error;
  }
  // Reads what has come so far and up to `aBytes` more bytes.
  void Read(std::size_t aBytes)
  {
    if (mInput.size() < aBytes) {
      asio::read(
        mSocket, mInput, asio::transfer_exactly(aBytes - mInput.size()));
    }
    mInput.consume(aBytes);
  }
  void Reset()
  {
    mSocket.set_option(asio::socket_base::linger(true, 0));
    mSocket.close();
  }
  void CloseSending() { mSocket.shutdown(asio::socket_base::shutdown_send); }

private:
  asio::ip::tcp::socket mSocket;
  asio::streambuf mInput;
};

struct client_fixture
{
  client_fixture()
  {
    mNames.mAttemptId = "X-Attempt-Id";
    mNames.mNotExecuted = "X-Not-Executed";
    mState.Publish(std::make_shared<routing_snapshot>());
  }

  // Runs a request for each of `aAttempts` in turn, beside a server that does
  // `aScript` on its first connection.
  void Run(const std::vector<std::string>& aAttempts,
           const std::function<void(scripted_connection&)>& aScript)
  {
    RunBeside(aAttempts, [&](asio::ip::tcp::acceptor& aAcceptor) {
      scripted_connection connection(aAcceptor);
      aScript(connection);
    });
  }

  // The same with a server that does `aServer`.
  void RunBeside(const std::vector<std::string>& aAttempts,
                 const std::function<void(asio::ip::tcp::acceptor&)>& aServer)
  {
    asio::io_context server_context;
    asio::ip::tcp::acceptor acceptor(server_context,
                                     { asio::ip::address_v4::loopback(), 0 });
    std::thread server([&] { aServer(acceptor); });
    asio::io_context context(1); // must outlive the thread's fiber scheduler
    std::thread([&] {
      InstallFiberScheduler(context);
      backend_client* running = nullptr;
      backend_client client(context, mState, mNames, [&](const server_report&) {
        if (mOnReport) {
          mOnReport(*running);
        }
      });
      running = &client;
      announced_server announced;
      announced.mAddress = ToText(acceptor.local_endpoint());
      client.SetServer(announced, instant::max());
      for (const std::string& attempt : aAttempts) {
        protocol::request_head head;
        head.method = mBody == nullptr ? "GET" : "POST";
        head.target = "/";
        head.attempt_id = attempt;
        head.body_bytes = mBodyBytes;
        memory_body no_body("");
        body_source& body = mBody == nullptr ? no_body : *mBody;
        cancellation cancelled;
        mSink = recording_sink();
        mResult = client.Run(head,
                             backend_grant(),
                             boot_clock::now() + mRequestTime,
                             body,
                             mSink,
                             cancelled);
      }
    }).join();
    server.join();
  }

  routing_state mState;
  http_header_names mNames;
  body_source* mBody = nullptr; // null: the requests have no body
  std::int64_t mBodyBytes = 0;
  duration mRequestTime = kRequestTime;
  recording_sink mSink;
  request_result mResult; // of the last request
  // Called with the client when a response has come.
  std::function<void(backend_client&)> mOnReport;
};

constexpr std::string_view kAnswerOfFirst =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kAnswerOfSecond =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nContent-Length: 2\r\n\r\nOK";

constexpr std::string_view kRefusalOfSecond =
  "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
  "X-Attempt-Id: second\r\nContent-Length: 0\r\n\r\n";

BOOST_AUTO_TEST_CASE(backend_client_sends_nothing_for_a_caller_that_has_left)
{
  asio::io_context server_context;
  asio::ip::tcp::acceptor server(server_context,
                                 { asio::ip::address_v4::loopback(), 0 });
  request_result result;
  asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    const routing_state state;
    const http_header_names names;
    backend_client client(context, state, names, [](const server_report&) {});
    announced_server announced;
    announced.mAddress = ToText(server.local_endpoint());
    client.SetServer(announced, instant::max());
    protocol::request_head head;
    head.method = "GET";
    head.target = "/";
    memory_body body("");
    unused_sink sink;
    cancellation cancelled([] { return true; });
    result = client.Run(head,
                        backend_grant(),
                        boot_clock::now() + kRequestTime,
                        body,
                        sink,
                        cancelled);
  }).join();
  BOOST_CHECK_EQUAL(result.mStep, kWithdrawnStep);
  BOOST_CHECK(!result.mWasSent);
  BOOST_CHECK_EQUAL(server.accept().available(), 0u);
}

BOOST_AUTO_TEST_SUITE(backend_client_responses)

BOOST_AUTO_TEST_SUITE(on_a_kept_connection)

BOOST_AUTO_TEST_CASE(earlier_refusal_does_not_say_that_the_request_was_not_run)
{
  for (const std::string_view field : { "", "X-Attempt-Id: first\r\n" }) {
    client_fixture client;
    client.Run({ "first", "second" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Write(kAnswerOfFirst);
      aServer.ReadRequest();
      aServer.Write("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n");
      aServer.Write(field);
      aServer.Write("Content-Length: 0\r\n\r\n");
      aServer.Write(kAnswerOfSecond);
    });
    BOOST_CHECK_MESSAGE(client.mResult.mKind != outcome_kind::not_run,
                        "with \"" << field << "\": " << client.mResult.mReason);
  }
}

// Guards against a request that runs and is called not run: a second copy of a
// refusal bears the id that the next try of the attempt expects.
BOOST_AUTO_TEST_CASE(late_copy_of_a_refusal_is_not_the_answer_to_the_next_try)
{
  constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
    "X-Attempt-Id: first\r\nContent-Length: 0\r\n\r\n";
  client_fixture client;
  client.RunBeside({ "first", "first" }, [&](auto& aAcceptor) {
    scripted_connection refused(aAcceptor);
    refused.ReadRequest();
    refused.Write(kRefusal);
    if (refused.HasInputWithin(std::chrono::milliseconds(200))) {
      refused.ReadRequest();
      refused.Write(kRefusal);
      refused.Write(kAnswerOfFirst);
      return;
    }
    scripted_connection next(aAcceptor);
    next.ReadRequest();
    refused.Write(kRefusal);
    next.Write(kAnswerOfFirst);
  });
  BOOST_CHECK(client.mResult.IsAnswered());
  BOOST_CHECK_EQUAL(client.mSink.mStatus, 200);
}

// Guards against a request at the address of a server that is another one now.
BOOST_AUTO_TEST_CASE(connection_to_a_former_address_is_not_kept)
{
  client_fixture client;
  asio::io_context other_context;
  asio::ip::tcp::acceptor other(other_context,
                                { asio::ip::address_v4::loopback(), 0 });
  announced_server next;
  next.mAddress = ToText(other.local_endpoint());
  std::thread next_server([&] {
    if (!HasInputWithin(other.native_handle(), std::chrono::seconds(1))) {
      return;
    }
    scripted_connection connection(other);
    connection.ReadRequest();
    connection.Write(kAnswerOfSecond);
  });
  bool is_at_former_address = false;
  // The server is replaced while its response is forwarded.
  client.mOnReport = [&](backend_client& aClient) {
    aClient.SetServer(next, instant::max());
  };
  client.Run({ "first", "second" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write(kAnswerOfFirst);
    is_at_former_address = aServer.IsUsedAgain();
    if (is_at_former_address) {
      aServer.Write(kAnswerOfSecond);
    }
  });
  next_server.join();
  BOOST_CHECK(client.mResult.IsAnswered());
  BOOST_CHECK(!is_at_former_address);
}

BOOST_AUTO_TEST_CASE(refusal_of_the_request_says_that_it_was_not_run)
{
  client_fixture client;
  client.Run({ "first", "second" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write(kAnswerOfFirst);
    aServer.ReadRequest();
    aServer.Write(kRefusalOfSecond);
  });
  BOOST_CHECK(client.mResult.mKind == outcome_kind::not_run);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an unsafe request that runs while its caller is told by its
// status that it does not.
BOOST_AUTO_TEST_CASE(status_that_promises_not_run_needs_the_servers_word)
{
  for (const std::string_view status : { "408", "429", "503" }) {
    client_fixture client;
    client.Run({ "first" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Write("HTTP/1.1 ");
      aServer.Write(status);
      aServer.Write(" Busy\r\nX-Attempt-Id: first\r\n"
                    "Content-Length: 0\r\n\r\n");
    });
    BOOST_CHECK_MESSAGE(client.mResult.mKind == outcome_kind::unknown, status);
    BOOST_CHECK_EQUAL(client.mSink.mStatus, 0);
  }
}

BOOST_AUTO_TEST_CASE(refusal_names_its_evidence)
{
  client_fixture client;
  client.Run({ "first", "second" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write(kAnswerOfFirst);
    aServer.ReadRequest();
    aServer.Write(kRefusalOfSecond);
  });
  BOOST_CHECK_EQUAL(client.mResult.mReason,
                    "status=503 not_executed=yes attempt_id=echoed "
                    "connection=1 request_of_connection=2");
}

BOOST_AUTO_TEST_SUITE(without_end)

// Guards against a faulty server whose bytes are kept until memory ends.
BOOST_AUTO_TEST_CASE(are_given_up_at_once)
{
  for (const std::string_view framing : { "5;", "0\r\nX: " }) {
    client_fixture client;
    std::size_t written = 0;
    const instant began = boot_clock::now();
    client.Run({ "first" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
      aServer.Write(framing);
      written = aServer.WriteWithoutEnd();
    });
    BOOST_CHECK(client.mResult.mKind == outcome_kind::broken);
    BOOST_CHECK_LT(written, kMaxAcceptedBytes);
    BOOST_CHECK(boot_clock::now() - began < kRequestTime);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an interim response that is taken for the answer.
BOOST_AUTO_TEST_CASE(interim_response_is_not_the_answer)
{
  client_fixture client;
  client.Run({ "first" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write("HTTP/1.1 100 Continue\r\n\r\n");
    aServer.Write(kAnswerOfFirst);
  });
  BOOST_CHECK_EQUAL(client.mSink.mStatus, 200);
  BOOST_CHECK_EQUAL(client.mSink.mBody, "ok");
}

BOOST_AUTO_TEST_SUITE(that_end_early)

BOOST_AUTO_TEST_CASE(head_that_is_cut_anywhere_is_not_passed_on)
{
  for (const std::string_view framing : { "Content-Length: 2\r\n\r\n",
                                          "Transfer-Encoding: chunked\r\n\r\n",
                                          "Connection: close\r\n\r\n" }) {
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\n";
    head += framing;
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      client_fixture client;
      client.Run({ "first" }, [&](scripted_connection& aServer) {
        aServer.ReadRequest();
        aServer.Write(std::string_view(head).substr(0, cut));
      });
      BOOST_REQUIRE_MESSAGE(client.mResult.mKind == outcome_kind::unknown &&
                              client.mSink.mStatus == 0,
                            "cut at " << cut << " of: " << head);
    }
  }
}

BOOST_AUTO_TEST_CASE(body_that_is_cut_is_not_whole)
{
  const std::string_view head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\n";
  for (const std::string_view rest :
       { "Content-Length: 3\r\n\r\n",
         "Content-Length: 3\r\n\r\nok",
         "Transfer-Encoding: chunked\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
         "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" }) {
    client_fixture client;
    client.Run({ "first" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Write(head);
      aServer.Write(rest);
    });
    BOOST_CHECK_MESSAGE(client.mResult.mKind == outcome_kind::broken, rest);
  }
}

BOOST_AUTO_TEST_CASE(body_until_the_close_is_not_whole_after_a_reset)
{
  client_fixture client;
  client.Run({ "first" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\n\r\nok");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    aServer.Reset();
  });
  BOOST_CHECK(client.mResult.mKind == outcome_kind::broken);
}

BOOST_AUTO_TEST_SUITE_END()

// An upload that goes on until the request ends.
class endless_body : public body_source
{
public:
  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    if (mRead++ == 1 && mSecondRead) {
      mSecondRead();
    }
    std::fill(aBuffer.begin(), aBuffer.end(), 'u');
    return aBuffer.size();
  }

  // Runs before the second part of the body is returned.
  std::function<void()> mSecondRead;

private:
  int mRead = 0;
};

constexpr std::int64_t kUploadBytes = 64 * 1024 * 1024;
// Enough beside other work on the machine; none of these requests waits for it.
constexpr duration kUploadTime = std::chrono::seconds(10);
constexpr std::string_view kHeadOfFirst =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\n";

// When the writer of the request gets the reset.
enum class reset_moment
{
  // Before the watch for an early response has run.
  kBeforeResponseIsSeen,
  // After the response was seen while the body was awaited.
  kAfterResponseIsSeen,
  // While it is blocked, because the server reads nothing.
  kWhileWriterIsBlocked
};

// Uploads to a server that answers with `aAnswer` at once and resets the
// connection. Returns the outcome.
request_result
UploadToResettingServer(client_fixture& aClient,
                        std::string_view aAnswer,
                        reset_moment aMoment)
{
  using std::chrono::milliseconds;
  endless_body upload;
  std::promise<void> was_reset;
  if (aMoment == reset_moment::kBeforeResponseIsSeen) {
    upload.mSecondRead = [&] { was_reset.get_future().wait(); };
  } else if (aMoment == reset_moment::kAfterResponseIsSeen) {
    upload.mSecondRead = [] {
      boost::this_fiber::sleep_for(milliseconds(100));
    };
  }
  aClient.mBody = &upload;
  aClient.mBodyBytes = kUploadBytes;
  aClient.mRequestTime = kUploadTime;
  aClient.Run({ "first" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    if (aMoment == reset_moment::kWhileWriterIsBlocked) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    aServer.Write(aAnswer);
    aServer.Reset();
    std::this_thread::sleep_for(milliseconds(20));
    was_reset.set_value();
  });
  aClient.mBody = nullptr;
  return aClient.mResult;
}

// Uploads to a server that answers with `aAnswer` at once, reads nothing and
// ends its side of the connection.
void
UploadToClosingServer(client_fixture& aClient, std::string_view aAnswer)
{
  endless_body upload;
  aClient.mBody = &upload;
  aClient.mBodyBytes = kUploadBytes;
  aClient.mRequestTime = kUploadTime;
  aClient.Run({ "first" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Write(aAnswer);
    aServer.CloseSending();
    aServer.IsUsedAgain();
  });
  aClient.mBody = nullptr;
}

constexpr reset_moment kResetMoments[] = {
  reset_moment::kBeforeResponseIsSeen,
  reset_moment::kAfterResponseIsSeen,
  reset_moment::kWhileWriterIsBlocked
};

BOOST_AUTO_TEST_SUITE(to_an_upload_that_the_server_does_not_read)

// Guards against a part of a response that is taken for all of it: the socket
// reports a reset once, and the writer may be the one that gets it.
BOOST_AUTO_TEST_CASE(that_end_with_a_reset_connection_are_not_whole)
{
  for (const std::string_view status : { "200 OK", "413 Too Large" }) {
    for (const reset_moment moment : kResetMoments) {
      client_fixture client;
      const request_result result = UploadToResettingServer(
        client,
        absl::StrCat("HTTP/1.1 ",
                     std::string(status),
                     "\r\nX-Attempt-Id: first\r\n\r\npart"),
        moment);
      BOOST_CHECK_MESSAGE(!result.IsAnswered(),
                          status << " at moment " << static_cast<int>(moment)
                                 << ": " << client.mSink.mBody);
    }
  }
}

BOOST_AUTO_TEST_CASE(that_break_off_before_their_length_are_not_whole)
{
  for (const std::string_view rest :
       { "Content-Length: 9\r\n\r\npart",
         "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
    for (const reset_moment moment : kResetMoments) {
      client_fixture client;
      const request_result result = UploadToResettingServer(
        client, std::string(kHeadOfFirst).append(rest), moment);
      BOOST_CHECK_MESSAGE(!result.IsAnswered(),
                          rest << " at moment " << static_cast<int>(moment));
    }
  }
}

BOOST_AUTO_TEST_CASE(that_have_their_length_are_passed_on)
{
  for (const reset_moment moment : kResetMoments) {
    client_fixture client;
    const request_result result =
      UploadToResettingServer(client,
                              "HTTP/1.1 413 Too Large\r\nX-Attempt-Id: "
                              "first\r\nContent-Length: 4\r\n\r\nlong",
                              moment);
    BOOST_CHECK_MESSAGE(result.IsAnswered() && client.mSink.mBody == "long",
                        "at moment " << static_cast<int>(moment) << ": "
                                     << result.mReason);
  }
}

BOOST_AUTO_TEST_CASE(that_refuse_it_say_that_it_was_not_run)
{
  for (const reset_moment moment : kResetMoments) {
    client_fixture client;
    const request_result result =
      UploadToResettingServer(client,
                              "HTTP/1.1 503 Busy\r\nX-Attempt-Id: "
                              "first\r\nX-Not-Executed: 1\r\n\r\n",
                              moment);
    BOOST_CHECK_MESSAGE(result.mKind == outcome_kind::not_run,
                        "at moment " << static_cast<int>(moment) << ": "
                                     << result.mReason);
  }
}

// A server that is killed ends its connections like one that has finished. It
// can't have finished if it hasn't read the request.
BOOST_AUTO_TEST_CASE(that_succeed_without_length_are_not_whole)
{
  client_fixture client;
  UploadToClosingServer(client, std::string(kHeadOfFirst) + "\r\npart");
  BOOST_CHECK(client.mResult.mKind == outcome_kind::unknown);
  BOOST_CHECK_EQUAL(client.mSink.mStatus, 0);
}

BOOST_AUTO_TEST_CASE(that_fail_it_without_length_are_passed_on)
{
  client_fixture client;
  UploadToClosingServer(
    client, "HTTP/1.1 413 Too Large\r\nX-Attempt-Id: first\r\n\r\nlong");
  BOOST_CHECK_MESSAGE(client.mResult.IsAnswered(), client.mResult.mReason);
  BOOST_CHECK_EQUAL(client.mSink.mBody, "long");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_an_upload_that_the_server_has_read)

// The response may be there before the sender has seen the end of the body.
BOOST_AUTO_TEST_CASE(may_end_with_their_connection)
{
  constexpr std::string_view kUpload = "all of the upload";
  constexpr std::string_view kChunkedUpload =
    "11\r\nall of the upload\r\n0\r\n\r\n";
  for (const bool is_chunked : { false, true }) {
    client_fixture client;
    memory_body upload(kUpload);
    client.mBody = &upload;
    client.mBodyBytes = is_chunked ? -1 : std::ssize(kUpload);
    client.mRequestTime = kUploadTime;
    client.Run({ "first" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Read(is_chunked ? kChunkedUpload.size() : kUpload.size());
      aServer.Write(kHeadOfFirst);
      aServer.Write("\r\nwhole");
    });
    BOOST_CHECK_MESSAGE(client.mResult.IsAnswered(), client.mResult.mReason);
    BOOST_CHECK_EQUAL(client.mSink.mBody, "whole");
  }
}

// The whole body was sent, but its source ends only later.
BOOST_AUTO_TEST_CASE(may_end_with_their_connection_before_the_body_does)
{
  constexpr std::string_view kUpload = "all of the upload";
  class late_end : public memory_body
  {
  public:
    using memory_body::memory_body;
    absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
    {
      auto got = memory_body::Read(aBuffer);
      if (got.ok() && *got == 0) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
      }
      return got;
    }
  } upload(kUpload);
  client_fixture client;
  client.mBody = &upload;
  client.mBodyBytes = std::ssize(kUpload);
  client.mRequestTime = kUploadTime;
  client.Run({ "first" }, [&](scripted_connection& aServer) {
    aServer.ReadRequest();
    aServer.Read(kUpload.size());
    aServer.Write(kHeadOfFirst);
    aServer.Write("\r\nwhole");
  });
  BOOST_CHECK_MESSAGE(client.mResult.IsAnswered(), client.mResult.mReason);
  BOOST_CHECK_EQUAL(client.mSink.mBody, "whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(status_outside_of_http_is_no_answer)
{
  for (const std::string_view status :
       { "000", "099", "600", "999", "2xx", "20", "2000", "-20" }) {
    client_fixture client;
    client.mRequestTime = std::chrono::seconds(2);
    client.Run({ "first" }, [&](scripted_connection& aServer) {
      aServer.ReadRequest();
      aServer.Write(absl::StrCat("HTTP/1.1 ",
                                 std::string(status),
                                 " Odd\r\nX-Attempt-Id: first\r\n"
                                 "Content-Length: 2\r\n\r\nok"));
      aServer.IsUsedAgain();
    });
    BOOST_CHECK_MESSAGE(client.mResult.mKind == outcome_kind::unknown &&
                          client.mSink.mStatus == 0,
                        status << ": " << client.mSink.mStatus);
    // It is not waited for another response.
    BOOST_CHECK_MESSAGE(client.mResult.mReason.find("timeout") ==
                          std::string::npos,
                        status << ": " << client.mResult.mReason);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
