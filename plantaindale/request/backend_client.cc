#include "plantaindale/request/backend_client.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/tcp_options.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/sent_request.h"
#include <boost/beast/http.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

// Extra time after the deadline in which a response is still awaited.
constexpr duration kServerStopGrace = std::chrono::milliseconds(20);
// How long to wait for the server to close a half-closed connection, which
// tells it to stop running the request.
constexpr duration kServerStopTimeout = std::chrono::milliseconds(100);
// For servers that send no Keep-Alive timeout.
constexpr duration kDefaultIdleTimeout = std::chrono::seconds(4);
// Safety margin before the server's Keep-Alive timeout: a request that is sent
// while the server closes the connection would be lost.
constexpr duration kIdleMargin = std::chrono::seconds(1);
// A longer body of a response that is skipped has no end for its reader.
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;
// Late responses to other requests that are skipped before the connection is
// abandoned.
constexpr int kMaxForeignResponses = 4;

// The idle time that `Keep-Alive: timeout=N` allows, minus kIdleMargin.
duration
IdleTimeoutFromKeepAlive(std::string_view aField)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t place = aField.find(kTimeout);
  if (place == aField.npos) {
    return kDefaultIdleTimeout;
  }
  const std::string_view digits = aField.substr(place + kTimeout.size());
  std::int64_t seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const duration limit = std::chrono::seconds(seconds) - kIdleMargin;
  return std::max(limit, duration(0));
}

// Whether callers take the status for the promise that the request has not run
// and will not.
bool
PromisesNotRun(http::status aStatus)
{
  return aStatus == http::status::request_timeout ||
         aStatus == http::status::misdirected_request ||
         aStatus == http::status::too_many_requests ||
         aStatus == http::status::service_unavailable;
}

// Whether the server's side has closed or reset the connection.
bool
IsConnectionEnd(const boost::system::error_code& aError)
{
  return aError == http::error::end_of_stream ||
         aError == http::error::partial_message ||
         aError == boost::asio::error::eof ||
         aError == boost::asio::error::connection_reset ||
         aError == boost::asio::error::connection_aborted ||
         aError == boost::asio::error::broken_pipe;
}

} // namespace

// Runs one request on one connection.
class backend_client::exchange
{
public:
  exchange(backend_client& aClient,
           const protocol::request_head& aHead,
           const backend_grant& aGrant,
           instant aDeadline,
           const before_send& aBeforeSend,
           cancellation& aCancellation,
           server_connection aConnection)
    : mClient(aClient)
    , mHead(aHead)
    , mGrant(aGrant)
    , mDeadline(aDeadline)
    , mBeforeSend(aBeforeSend)
    , mCancellation(aCancellation)
    , mIsReused(aConnection.mStream != nullptr)
    , mConnection(std::move(aConnection))
    , mStream(mConnection.mStream)
    , mChunk(kChunkSize)
  {
  }

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  ~exchange()
  {
    if (mIsWatching != nullptr) {
      *mIsWatching = false;
    }
  }

  request_result Run(body_source& aBody, response_sink& aSink)
  {
    ++mConnection.mRequests;
    request_result result = Exchange(aBody, aSink);
    result.mWasSent = result.mWasSent || mHasBegun;
    if (result.IsAnswered()) {
      result.mStatus = mParser->get().result_int();
    }
    if (IsReusable(result)) {
      if (mWasRefused && ExpectsAttemptId()) {
        mConnection.mRefused.Add(
          mHead.attempt_id, mDeadline, boot_clock::now());
      }
      mClient.KeepIdle(
        std::move(mConnection),
        IdleTimeoutFromKeepAlive(mParser->get()[http::field::keep_alive]));
    } else if (!result.IsAnswered() && !mWasRefused && !mIsMalformed) {
      AwaitServerStop();
    }
    return result;
  }

  // Returns `answered` once connected.
  request_result Connect()
  {
    if (mStream != nullptr) {
      return Answered();
    }
    auto endpoint = ParseEndpoint(mClient.mServer.mAddress);
    if (!endpoint.ok()) {
      return Fail(outcome_kind::not_run, "connect", Reason(endpoint.status()));
    }
    mStream = std::make_unique<tcp_stream>(mClient.mContext);
    mConnection.mAddress = mClient.mServer.mAddress;
    mConnection.mNumber = ++mClient.mConnectionsMade;
    ExpireAt(*mStream, WaitUntil());
    const cancellation::action stop(mCancellation, [this] { Abort(); });
    io_result connected = AwaitIo([&](auto aHandler) {
      mStream->async_connect(*endpoint, std::move(aHandler));
    });
    if (connected.mError) {
      const bool is_refused =
        connected.mError == boost::asio::error::connection_refused;
      return Fail(outcome_kind::not_run,
                  is_refused ? kNoServerStep : "connect",
                  connected.mError.message());
    }
    SetRequestOptions(mStream->socket());
    return Answered();
  }

private:
  request_result Exchange(body_source& aBody, response_sink& aSink)
  {
    const cancellation::action stop(mCancellation, [this] { Abort(); });
    request_result result = SendRequest(aBody);
    return result.IsAnswered() ? ForwardResponse(aSink) : result;
  }

  void Abort()
  {
    boost::system::error_code ignored;
    mStream->socket().cancel(ignored);
  }

  // A connection is reusable only if the request and its response were
  // transferred completely and no other bytes were received.
  bool IsReusable(const request_result& aResult) const
  {
    return (aResult.IsAnswered() || mWasRefused) && mSent.IsComplete() &&
           !mHadForeignResponse && mParser->is_done() &&
           mParser->keep_alive() && !mInput.HasBytes();
  }

  // Half-closes the connection to tell the server to stop, and waits until the
  // server closes it: its slot is free only then.
  void AwaitServerStop()
  {
    boost::system::error_code ignored;
    mStream->socket().shutdown(boost::asio::socket_base::shutdown_send,
                               ignored);
    const instant stop_by = boot_clock::now() + kServerStopTimeout;
    while (boot_clock::now() < stop_by) {
      ExpireAt(*mStream, stop_by);
      const io_result read = AwaitIo([&](auto aHandler) {
        mStream->async_read_some(boost::asio::buffer(mChunk),
                                 std::move(aHandler));
      });
      if (read.mError) {
        return;
      }
    }
  }

  // The server stops by itself at the deadline; the node waits slightly longer
  // to see the result.
  instant WaitUntil() const { return mDeadline + kServerStopGrace; }

  bool HoldsRequiredLease() const
  {
    return !mGrant.mNeedsLease ||
           mClient.mRoutingState.HoldsLease(mGrant.mIncarnation);
  }

  request_result Fail(outcome_kind::type aKind,
                      std::string_view aStep,
                      std::string_view aReason) const
  {
    return MakeFailure(aKind, aStep, mClient.mServer.mAddress, aReason);
  }

  request_result FailIo(outcome_kind::type aKind,
                        std::string_view aStep,
                        boost::system::error_code aError)
  {
    mIsMalformed = mIsMalformed || IsMalformedInput(aError);
    request_result result = Fail(aKind, aStep, aError.message());
    result.mHasLostServer = IsConnectionEnd(aError);
    return result;
  }

  void SetRouterFields(http::fields& aFields) const
  {
    const http_header_names& header_names = mClient.mHeaderNames;
    const auto set = [&](const std::string& aName, std::string_view aValue) {
      if (!aName.empty() && !aValue.empty()) {
        aFields.set(aName, aValue);
      }
    };
    set(header_names.mRunUntil, absl::StrCat(ToMicros(mGrant.mRunUntil)));
    set(header_names.mExpectedInstance, mGrant.mInstance);
    const auto left = std::chrono::floor<std::chrono::milliseconds>(
      mDeadline - boot_clock::now());
    set(header_names.mServerDeadlineRemaining,
        absl::StrCat(std::max<std::int64_t>(left.count(), 1)));
    if (!mGrant.mShard.empty()) {
      set(header_names.mShard, mGrant.mShard);
      set(header_names.mEpoch, absl::StrCat(mGrant.mEpoch));
    }
  }

  http::request<http::buffer_body> MakeRequest() const
  {
    http::request<http::buffer_body> request;
    request.method_string(mHead.method);
    request.target(mHead.target);
    AddFields(mHead.fields, request);
    SetRouterFields(request);
    if (mHead.body_bytes > 0) {
      request.content_length(mHead.body_bytes);
    } else if (mHead.body_bytes < 0) {
      request.chunked(true);
    }
    return request;
  }

  // Returns `answered` when the response can be read. If the server responds
  // early, the request may not have been sent completely, and the connection
  // may have failed behind the response.
  request_result SendRequest(body_source& aBody)
  {
    http::request<http::buffer_body> request = MakeRequest();
    http::request_serializer<http::buffer_body> serializer(request);
    std::int64_t body_bytes = 0; // sent
    if (!HoldsRequiredLease()) {
      return Fail(outcome_kind::not_run, "send", "the node's lease expired");
    }
    for (;;) {
      auto got = aBody.Read(mChunk);
      if (!got.ok()) {
        return Fail(mHasBegun ? outcome_kind::unknown : outcome_kind::not_run,
                    "receive_body",
                    Reason(got.status()));
      }
      // The wait for a connection or for the body may have been long.
      if (mCancellation.Check()) {
        return mHasBegun ? FailIo(outcome_kind::unknown,
                                  "send_body",
                                  boost::asio::error::operation_aborted)
                         : Withdrawn();
      }
      if (!HoldsRequiredLease()) {
        return Fail(mHasBegun ? outcome_kind::unknown : outcome_kind::not_run,
                    "send_body",
                    "the node's lease expired");
      }
      if (mHasEarlyResponse) {
        return Answered();
      }
      const bool is_last = *got == 0;
      request.body().data = is_last ? nullptr : mChunk.data();
      request.body().size = *got;
      request.body().more = !is_last;
      if (!mHasBegun && !mClient.IsServing()) {
        return Fail(outcome_kind::not_run,
                    kHandOverStep,
                    "the backend server is shutting down");
      }
      if (!mHasBegun && mBeforeSend) {
        if (auto refusal = mBeforeSend()) {
          return *std::move(refusal);
        }
      }
      if (!mHasBegun && mHead.body_bytes != 0) {
        WatchForEarlyResponse();
      }
      mHasBegun = true;
      ExpireAt(*mStream, WaitUntil());
      io_result sent = AwaitIo([&](auto aHandler) {
        http::async_write(*mStream, serializer, std::move(aHandler));
      });
      if (sent.mError == http::error::need_buffer) {
        sent.mError = {};
      }
      mSent.OnWritten(sent.mError);
      if (!sent.mError) {
        body_bytes += static_cast<std::int64_t>(*got);
        // A server may respond before the end of the body is seen here.
        const bool has_sent_length =
          mHead.body_bytes > 0 && body_bytes >= mHead.body_bytes;
        if (is_last || serializer.is_done() || has_sent_length) {
          mSent.SetComplete(boot_clock::now());
        }
      }
      if (mHasEarlyResponse || HasResponseOfEndedConnection(sent.mError)) {
        return Answered();
      }
      if (sent.mError) {
        return FailIo(outcome_kind::unknown, "send", sent.mError);
      }
      if (is_last || serializer.is_done()) {
        return Answered();
      }
    }
  }

  // Whether the server responded before it ended the connection. The write may
  // report the end before the watch for an early response has run.
  bool HasResponseOfEndedConnection(const boost::system::error_code& aError)
  {
    return IsConnectionEnd(aError) && !HasHungUp(mStream->socket());
  }

  // A server may respond before it has read the whole body and then stop
  // reading, so sending is cancelled as soon as a response arrives.
  void WatchForEarlyResponse()
  {
    mIsWatching = std::make_shared<bool>(true);
    mStream->socket().async_wait(
      boost::asio::socket_base::wait_read,
      [this, watched = mIsWatching](boost::system::error_code aError) {
        if (aError || !*watched || mSent.IsComplete()) {
          return;
        }
        mHasEarlyResponse = true;
        Abort();
      });
  }

  // Reads the head of the response to this request into mParser. Skips late
  // responses to other requests on the connection.
  request_result ReadHead()
  {
    for (int foreign = 0; foreign <= kMaxForeignResponses; ++foreign) {
      if (mCancellation.IsCancelled()) {
        return FailIo(outcome_kind::unknown,
                      "receive",
                      boost::asio::error::operation_aborted);
      }
      ExpireAt(*mStream, WaitUntil());
      const io_result read = mInput.ReadFinalHead(*mStream, mParser, [&] {
        mParser.emplace();
        mParser->body_limit(boost::none);
        mParser->skip(mHead.method == "HEAD");
      });
      if (read.mError) {
        return FailIo(outcome_kind::unknown, "receive", read.mError);
      }
      if (IsOfThisRequest()) {
        return Answered();
      }
      mHadForeignResponse = true;
      if (!SkipBody()) {
        return Fail(outcome_kind::unknown,
                    "receive",
                    "incomplete response with another attempt id");
      }
    }
    return Fail(outcome_kind::unknown,
                "receive",
                "only responses with other attempt ids were received");
  }

  bool HasAttemptId() const
  {
    return mParser->get().count(mClient.mHeaderNames.mAttemptId) > 0;
  }

  bool ExpectsAttemptId() const
  {
    return !mClient.mHeaderNames.mAttemptId.empty() &&
           !mHead.attempt_id.empty();
  }

  bool IsOfThisRequest() const
  {
    return !ExpectsAttemptId() || !HasAttemptId() ||
           mParser->get()[mClient.mHeaderNames.mAttemptId] == mHead.attempt_id;
  }

  // Whether the response may be of an earlier request on the connection.
  bool MayBeOfEarlierRequest() const
  {
    return mIsReused && ExpectsAttemptId() && !HasAttemptId();
  }

  // Reads the next part of the body into mChunk.
  io_result ReadChunk()
  {
    mParser->get().body().data = mChunk.data();
    mParser->get().body().size = mChunk.size();
    // Abort() ends only a wait that has begun.
    if (mCancellation.IsCancelled()) {
      return { boost::asio::error::operation_aborted, 0 };
    }
    // The timer of the stream does not end reads that complete at once.
    if (boot_clock::now() >= WaitUntil()) {
      return { boost::beast::error::timeout, 0 };
    }
    ExpireAt(*mStream, WaitUntil());
    io_result read = mInput.ReadAll(*mStream, *mParser);
    if (read.mError == http::error::need_buffer) {
      read.mError = {};
    }
    return read;
  }

  bool SkipBody()
  {
    std::size_t skipped = 0;
    while (!mParser->is_done()) {
      if (ReadChunk().mError || skipped > kMaxSkippedBytes) {
        return false;
      }
      skipped += mChunk.size() - mParser->get().body().size;
    }
    return true;
  }

  // Describes why the response head can't come from the backend server itself;
  // empty if it is valid.
  std::string_view HeadFault() const
  {
    const auto& head = mParser->get();
    const std::string& signature = mClient.mHeaderNames.mSignature;
    const bool is_success = head.result_int() / 100 == 2;
    if (is_success && !signature.empty() && head.count(signature) == 0) {
      return "success response without the server's signature field";
    }
    if (!signature.empty() && head.count(http::field::content_encoding) > 0) {
      return "response has a Content-Encoding that was not requested";
    }
    return {};
  }

  bool IsRefusal() const
  {
    const auto& head = mParser->get();
    const std::string& not_executed = mClient.mHeaderNames.mNotExecuted;
    return !not_executed.empty() &&
           (head.count(not_executed) > 0 ||
            head.result() == http::status::misdirected_request);
  }

  // Whether callers would read a promise in the status that the server did not
  // give.
  bool IsUnfoundedPromise() const
  {
    return !mClient.mHeaderNames.mNotExecuted.empty() && !IsRefusal() &&
           PromisesNotRun(mParser->get().result());
  }

  // What makes the response a refusal, and the connection that it came on.
  std::string DescribeRefusal() const
  {
    const std::string& not_executed = mClient.mHeaderNames.mNotExecuted;
    return absl::StrCat("status=",
                        mParser->get().result_int(),
                        " not_executed=",
                        mParser->get().count(not_executed) > 0 ? "yes" : "no",
                        " attempt_id=",
                        HasAttemptId() ? "echoed" : "none",
                        " connection=",
                        mConnection.mNumber,
                        " request_of_connection=",
                        mConnection.mRequests);
  }

  // Passes on what the response says of the server, if it is still the one that
  // the request was sent to.
  void ReportServer() const
  {
    if (mGrant.mInstance != mClient.mServer.mInstance) {
      return;
    }
    const auto value = [&](const std::string& aName) -> std::string_view {
      const auto field = mParser->get().find(aName);
      return field == mParser->get().end() ? std::string_view()
                                           : std::string_view(field->value());
    };
    const http_header_names& names = mClient.mHeaderNames;
    server_report report = ReadServerReport(
      value(names.mRateLimit), value(names.mLeaving), value(names.mServerLoad));
    const bool has_run = !IsRefusal() && mParser->get().result_int() / 100 == 2;
    if (has_run) {
      report.mRunTime = mSent.TimeSinceComplete(boot_clock::now());
    }
    if (report.mIsRateLimitMalformed) {
      log_event("rate_limit_refused", log_level::kWarning)
        .With("server", mClient.mServer.mAddress)
        .With("value", value(names.mRateLimit));
    }
    mClient.mOnReport(report);
  }

  request_result ForwardResponse(response_sink& aSink)
  {
    if (request_result read = ReadHead(); !read.IsAnswered()) {
      return read;
    }
    const std::string_view fault = HeadFault();
    if (fault.empty()) {
      ReportServer();
    }
    if (IsRefusal() && MayBeOfEarlierRequest()) {
      return Fail(outcome_kind::unknown,
                  "receive",
                  "refusal without an attempt id on a reused connection");
    }
    if (IsRefusal()) {
      mWasRefused = true;
      const std::string evidence = DescribeRefusal();
      SkipBody();
      return Fail(outcome_kind::not_run, kServerRefusedStep, evidence);
    }
    if (!HoldsRequiredLease()) {
      return Fail(outcome_kind::unknown, "receive", "the node's lease expired");
    }
    if (!fault.empty()) {
      return Fail(outcome_kind::unknown, "receive", fault);
    }
    if (mParser->need_eof()) {
      const std::string_view doubt =
        mSent.DoubtOfUndelimited(mParser->get().result_int());
      if (!doubt.empty()) {
        request_result result = Fail(outcome_kind::unknown, "receive", doubt);
        result.mHasLostServer = IsConnectionEnd(mSent.Error());
        return result;
      }
    }
    if (IsUnfoundedPromise()) {
      return Fail(
        outcome_kind::unknown,
        "receive",
        absl::StrCat("the server does not say that it has not run the "
                     "request, but its status does: ",
                     mParser->get().result_int()));
    }
    protocol::answer_head head;
    head.request_id = mHead.request_id;
    head.status = mParser->get().result_int();
    head.fields = EndToEndFields(mParser->get());
    const auto length = mParser->content_length();
    head.body_bytes = length ? static_cast<std::int64_t>(*length) : -1;
    if (absl::Status forwarded = aSink.Head(head); !forwarded.ok()) {
      return Fail(outcome_kind::broken, "answer", Reason(forwarded));
    }
    return ForwardBody(aSink);
  }

  request_result ForwardBody(response_sink& aSink)
  {
    while (!mParser->is_done()) {
      const io_result read = ReadChunk();
      if (read.mError) {
        return FailIo(outcome_kind::broken, "receive", read.mError);
      }
      if (!HoldsRequiredLease()) {
        return Fail(
          outcome_kind::broken, "receive", "the node's lease expired");
      }
      const std::size_t got = mChunk.size() - mParser->get().body().size;
      if (got == 0) {
        continue;
      }
      absl::Status forwarded = aSink.Body({ mChunk.data(), got });
      if (!forwarded.ok()) {
        return Fail(outcome_kind::broken, "answer", Reason(forwarded));
      }
    }
    return Answered();
  }

  backend_client& mClient;
  const protocol::request_head& mHead;
  const backend_grant& mGrant;
  instant mDeadline;
  const before_send& mBeforeSend;
  cancellation& mCancellation;
  bool mIsReused; // the connection has served another request
  server_connection mConnection;
  std::unique_ptr<tcp_stream>& mStream; // of mConnection
  std::vector<char> mChunk;
  http_input mInput;
  std::optional<http::response_parser<http::buffer_body>> mParser;
  bool mHasBegun = false; // a byte may have been sent
  sent_request mSent;
  bool mWasRefused = false; // the server has not run the request
  bool mHadForeignResponse = false;
  bool mIsMalformed = false; // the server sent what is no response
  bool mHasEarlyResponse = false;
  std::shared_ptr<bool> mIsWatching; // false after the exchange has ended
};

backend_client::backend_client(boost::asio::io_context& aContext,
                               const routing_state& aRoutingState,
                               const http_header_names& aHeaderNames,
                               on_report aOnReport)
  : mContext(aContext)
  , mRoutingState(aRoutingState)
  , mHeaderNames(aHeaderNames)
  , mOnReport(std::move(aOnReport))
{
}

void
backend_client::SetServer(const announced_server& aServer, instant aServesUntil)
{
  if (aServer.mAddress != mServer.mAddress) {
    mIdle.clear();
  }
  mServer = aServer;
  mServesUntil = aServesUntil;
}

request_result
backend_client::Run(const protocol::request_head& aHead,
                    const backend_grant& aGrant,
                    instant aDeadline,
                    body_source& aBody,
                    response_sink& aSink,
                    cancellation& aCancellation,
                    const before_send& aBeforeSend)
{
  exchange run(*this,
               aHead,
               aGrant,
               aDeadline,
               aBeforeSend,
               aCancellation,
               TakeIdle(aHead.attempt_id));
  request_result connected = run.Connect();
  if (!connected.IsAnswered()) {
    return connected;
  }
  return run.Run(aBody, aSink);
}

backend_client::server_connection
backend_client::TakeIdle(const std::string& aAttemptId)
{
  const instant now = boot_clock::now();
  for (auto next = mIdle.end(); next != mIdle.begin();) {
    --next;
    if (next->mConnection.mRefused.Contains(aAttemptId)) {
      continue;
    }
    idle_connection newest = std::move(*next);
    next = mIdle.erase(next);
    const bool is_usable =
      now < newest.mUsableUntil &&
      !HasInputOrHungUp(newest.mConnection.mStream->socket());
    if (is_usable) {
      return std::move(newest.mConnection);
    }
  }
  return {};
}

void
backend_client::KeepIdle(server_connection aConnection, duration aIdleTimeout)
{
  if (aConnection.mAddress != mServer.mAddress) {
    return;
  }
  mIdle.push_back({ std::move(aConnection), boot_clock::now() + aIdleTimeout });
}

} // namespace plantaindale
