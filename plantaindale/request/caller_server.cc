#include "plantaindale/request/caller_server.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/net/tcp_options.h"
#include "plantaindale/request/caller_sink.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale {
namespace {

constexpr std::size_t kFirstReadBytes = 4096;
constexpr std::chrono::milliseconds kAcceptPause{ 20 };
// After a response that is sent before the request body was read, the rest of
// the body is discarded for at most this long. Closing at once would reset the
// connection, and the caller would lose the response.
constexpr duration kMaxDiscardTime = std::chrono::seconds(1);
// A caller whose connection is closed is answered if its request was read
// within this time of its arrival.
constexpr duration kMaxReadDelay = std::chrono::milliseconds(200);
// In seconds; about the time until a slot becomes free.
constexpr std::string_view kRetryAfter = "0.1";

caller_problem
NotRunProblem(std::string aDetail)
{
  return { http::status::service_unavailable,
           "The request was not run",
           std::move(aDetail),
           "not-run",
           true };
}

caller_problem
ProblemOf(const request_result& aResult)
{
  std::string detail = absl::StrCat("step=", aResult.mStep);
  if (!aResult.mPeer.empty()) {
    absl::StrAppend(&detail, " peer=", aResult.mPeer);
  }
  absl::StrAppend(&detail, " ", aResult.mReason);
  if (aResult.mKind == outcome_kind::not_run) {
    return NotRunProblem(std::move(detail));
  }
  return { http::status::gateway_timeout,
           "Whether the request was run is not known",
           detail,
           "unknown",
           false };
}

} // namespace

// Serves one connection of a caller.
class caller_server::connection
{
public:
  // The connection arrived after `aArrivedAfter`.
  connection(caller_server& aServer, tcp_socket aSocket, instant aArrivedAfter)
    : mServer(aServer)
    , mStream(std::move(aSocket))
    , mArrivedAfter(aArrivedAfter)
  {
  }

  void Serve()
  {
    while (ServeRequest()) {
    }
    boost::system::error_code ignored;
    mStream.socket().shutdown(boost::asio::socket_base::shutdown_both, ignored);
  }

private:
  // Returns whether the connection may be used for another request.
  bool ServeRequest()
  {
    const auto first = mServer.mRoutingState.Latest();
    if (!AwaitInput(first->mConfiguration->mLimits)) {
      return false;
    }
    const auto snapshot = mServer.mRoutingState.Latest();
    const caller_limits& limits = snapshot->mConfiguration->mLimits;
    caller_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.mHeadBytes));
    parser.body_limit(boost::none);
    if (!ReadHead(parser, limits)) {
      return false;
    }
    const instant began = boot_clock::now();
    routed_request request;
    std::optional<caller_problem> refused =
      mServer.mResolver.Resolve(*snapshot, parser, request);
    if (refused) {
      mServer.mMetrics.CountMalformed();
      LogRefusal(request, *refused, *snapshot);
      return Refuse(*refused, parser);
    }
    if (mServer.MayShutDownBefore(request.mDeadline)) {
      return RefuseForShutDown();
    }
    caller_body body(mStream, mBuffer, parser);
    // A draining node closes each caller's connection after its next response.
    const bool keep_alive = parser.keep_alive() && !snapshot->mIsDraining;
    caller_sink sink(mStream, parser, keep_alive);
    std::string small_body;
    if (!request.mHead.await_ready) {
      const absl::Status read = ReadSmallBody(body, sink, small_body);
      if (!read.ok()) {
        return false; // the body was incomplete; nothing was run
      }
    }
    // The body may have come slowly.
    if (mServer.MayShutDownBefore(request.mDeadline)) {
      return RefuseForShutDown();
    }
    if (HasCallerLeft()) {
      log_event("request_dropped", log_level::kWarning)
        .With("request", request.mHead.attempt_id)
        .With("service", request.mHead.service_name)
        .With("read_late_us", (boot_clock::now() - mArrivedAfter).count())
        .With("reason", "the caller closed the connection before it was read");
      SendProblem(NotRunProblem("step=receive the connection was closed before "
                                "the request was read"),
                  false);
      return false;
    }
    ++mServer.mRunning;
    const request_result result = Run(request, small_body, body, sink);
    --mServer.mRunning;
    const duration took = boot_clock::now() - began;
    mServer.mMetrics.Count(result.mKind, took);
    LogEnd(request, result, took);
    const bool may_continue =
      FinishResponse(result, sink, keep_alive && parser.is_done());
    if (!parser.is_done() && !body.HasFailed()) {
      Discard(body);
    }
    return may_continue;
  }

  // Waits for the first bytes of a request; false on a timeout or a close.
  bool AwaitInput(const caller_limits& aLimits)
  {
    if (mBuffer.size() > 0) {
      return true;
    }
    // Input that waits already may have come at any time since the last read.
    const bool is_waiting = HasInputOrHungUp(mStream.socket());
    ExpireAt(mStream, boot_clock::now() + aLimits.mIdleTimeout);
    io_result read = AwaitIo([&](auto aHandler) {
      mStream.async_read_some(mBuffer.prepare(kFirstReadBytes),
                              std::move(aHandler));
    });
    if (read.mError) {
      return false;
    }
    mBuffer.commit(read.mBytes);
    if (!is_waiting) {
      mArrivedAfter = std::max(mArrivedAfter, InputArrivedAfter());
    }
    return true;
  }

  // A caller that closes its sending half at once may wait for the response.
  // One whose request was read long after it came has more likely given up.
  bool HasCallerLeft()
  {
    return boot_clock::now() >= mArrivedAfter + kMaxReadDelay &&
           HasBeenClosed(mStream.socket());
  }

  void Discard(caller_body& aBody)
  {
    boost::system::error_code ignored;
    mStream.socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
    std::vector<char> chunk(kChunkSize);
    const instant stop_by = boot_clock::now() + kMaxDiscardTime;
    while (boot_clock::now() < stop_by) {
      auto got = aBody.Read(chunk, stop_by);
      if (!got.ok() || *got == 0) {
        return;
      }
    }
  }

  // Logs one line per request that is rejected because of its content.
  static void LogRefusal(const routed_request& aRequest,
                         const caller_problem& aProblem,
                         const routing_snapshot& aSnapshot)
  {
    log_event("request_refused", log_level::kWarning)
      .With("request", aRequest.mHead.attempt_id)
      .With("status", static_cast<int>(aProblem.mStatus))
      .With("config", aSnapshot.mConfiguration->mNumber)
      .With("reason", aProblem.mDetail);
  }

  // Logs one line per request without a complete response.
  static void LogEnd(const routed_request& aRequest,
                     const request_result& aResult,
                     duration aTook)
  {
    if (aResult.IsAnswered()) {
      return;
    }
    log_event("request_ended", log_level::kWarning)
      .With("request", aRequest.mHead.attempt_id)
      .With("service", aRequest.mHead.service_name)
      .With("shard", aRequest.mHead.shard)
      .With("outcome", ToText(aResult.mKind))
      .With("step", aResult.mStep)
      .With("peer", aResult.mPeer)
      .With("sent", aResult.mWasSent ? "yes" : "no")
      .With("took_us", aTook.count())
      .With("reason", aResult.mReason);
  }

  bool ReadHead(caller_parser& aParser, const caller_limits& aLimits)
  {
    ExpireAt(mStream, boot_clock::now() + aLimits.mHeadTimeout);
    io_result read = AwaitIo([&](auto aHandler) {
      http::async_read_header(mStream, mBuffer, aParser, std::move(aHandler));
    });
    if (!read.mError) {
      return true;
    }
    const bool is_closed =
      read.mError == http::error::end_of_stream ||
      read.mError == boost::beast::error::timeout ||
      read.mError.category() == boost::asio::error::get_system_category();
    if (!is_closed) {
      mServer.mMetrics.CountMalformed();
      const auto status = read.mError == http::error::header_limit
                            ? http::status::request_header_fields_too_large
                            : http::status::bad_request;
      SendProblem({ status,
                    "The request can't be read",
                    "step=receive_head " + read.mError.message() },
                  false);
    }
    return false;
  }

  static absl::Status ReadSmallBody(caller_body& aBody,
                                    caller_sink& aSink,
                                    std::string& aBytes)
  {
    if (absl::Status ready = aSink.Ready(); !ready.ok()) {
      return ready;
    }
    if (aBody.IsComplete()) {
      return absl::OkStatus();
    }
    std::vector<char> chunk(kChunkSize);
    for (;;) {
      auto got = aBody.Read(chunk);
      if (!got.ok() || *got == 0) {
        return got.status();
      }
      aBytes.append(chunk.data(), *got);
    }
  }

  request_result Run(routed_request& aRequest,
                     std::string_view aSmallBody,
                     caller_body& aBody,
                     caller_sink& aSink)
  {
    cancellation cancelled;
    aBody.CancelOnHangup(cancelled);
    request_result result =
      mServer.mRouter.Run(aRequest, aSmallBody, aBody, aSink, cancelled);
    aBody.StopWatching();
    return result;
  }

  // Completes the response, or sends a problem document if none has begun.
  // `aMayContinue`: the caller keeps the connection open and its body was read
  // completely. Returns whether the connection may be used for another request.
  bool FinishResponse(const request_result& aResult,
                      caller_sink& aSink,
                      bool aMayContinue)
  {
    if (aResult.IsAnswered()) {
      return aSink.Finish().ok() && aMayContinue;
    }
    if (aSink.HasBegun()) {
      // Closing the connection shows the caller that the response is
      // incomplete.
      return false;
    }
    return SendProblem(ProblemOf(aResult), aMayContinue);
  }

  bool RefuseForShutDown()
  {
    return SendProblem(
      NotRunProblem(
        "step=stop the node shuts down before the request's deadline"),
      false);
  }

  bool Refuse(const caller_problem& aProblem, caller_parser& aParser)
  {
    return SendProblem(aProblem, aParser.keep_alive() && aParser.is_done());
  }

  bool SendProblem(const caller_problem& aProblem, bool aKeepAlive)
  {
    http::response<http::string_body> answer(aProblem.mStatus, 11);
    answer.set(http::field::content_type, "application/problem+json");
    answer.set(mServer.mHeaderNames.mOutcome, aProblem.mOutcome);
    if (aProblem.mMayRetryLater) {
      answer.set(http::field::retry_after, kRetryAfter);
    }
    answer.keep_alive(aKeepAlive);
    answer.body() = boost::json::serialize(
      boost::json::object{ { "type", "about:blank" },
                           { "title", aProblem.mTitle },
                           { "status", static_cast<int>(aProblem.mStatus) },
                           { "detail", aProblem.mDetail },
                           { "outcome", aProblem.mOutcome } });
    answer.prepare_payload();
    ExpireAt(mStream, boot_clock::now() + kCallerIoTimeout);
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, answer, std::move(aHandler));
    });
    return !written.mError && aKeepAlive;
  }

  caller_server& mServer;
  tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  instant mArrivedAfter; // the bytes in mBuffer arrived later
};

caller_server::caller_server(boost::asio::io_context& aContext,
                             const routing_state& aRoutingState,
                             request_router& aRouter,
                             request_metrics& aMetrics,
                             const http_header_names& aHeaderNames,
                             std::string aLocalService)
  : mContext(aContext)
  , mRoutingState(aRoutingState)
  , mRouter(aRouter)
  , mMetrics(aMetrics)
  , mHeaderNames(aHeaderNames)
  , mResolver(aHeaderNames, std::move(aLocalService))
  , mAcceptor(aContext)
{
}

absl::Status
caller_server::Listen(std::string_view aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
  boost::system::error_code error;
  mAcceptor.non_blocking(true, error);
  if (error) {
    return MakeError(
      absl::StatusCode::kUnavailable, "listen", aAddress, error.message());
  }
  mAcceptedUntil = boot_clock::now();
  boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  return absl::OkStatus();
}

void
caller_server::StopAccepting()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
}

void
caller_server::EndBy(instant aRefuseFrom, instant aEndBy)
{
  mRefuseFrom = aRefuseFrom;
  mEndBy = aEndBy;
}

bool
caller_server::MayShutDownBefore(instant aDeadline) const
{
  return boot_clock::now() >= mRefuseFrom && aDeadline >= mEndBy;
}

void
caller_server::AcceptLoop()
{
  for (;;) {
    AwaitIo([&](auto aHandler) {
      mAcceptor.async_wait(boost::asio::socket_base::wait_read,
                           std::move(aHandler));
    });
    if (!mAcceptor.is_open()) {
      return;
    }
    if (!AcceptAll()) {
      boost::this_fiber::sleep_for(kAcceptPause);
    }
  }
}

bool
caller_server::AcceptAll()
{
  const instant arrived_after = std::max(mAcceptedUntil, InputArrivedAfter());
  for (;;) {
    tcp_socket socket(mContext);
    boost::system::error_code error;
    mAcceptor.accept(socket, error);
    if (error == boost::asio::error::would_block) {
      mAcceptedUntil = boot_clock::now();
      return true;
    }
    if (error) {
      return false;
    }
    SetRequestOptions(socket);
    boost::fibers::fiber([this,
                          socket = std::move(socket),
                          arrived_after]() mutable {
      connection(*this, std::move(socket), arrived_after).Serve();
    }).detach();
  }
}

} // namespace plantaindale
