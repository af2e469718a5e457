#include "plantaindale/request/caller_connection.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/request/caller_sink.h"
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

// After the last response, further input is discarded for at most this long.
// Closing at once would reset the connection, and the caller would lose the
// response.
constexpr duration kMaxDiscardTime = std::chrono::seconds(1);

// Logs one line per request that is rejected because of its content.
void
LogRefusal(const routed_request& aRequest,
           const caller_problem& aProblem,
           const routing_snapshot& aSnapshot)
{
  log_event("request_refused", log_level::kWarning)
    .With("request", aRequest.mHead.attempt_id)
    .With("status", static_cast<int>(aProblem.mStatus))
    .With("config", aSnapshot.mConfiguration->mNumber)
    .With("reason", aProblem.mDetail);
}

caller_problem
MalformedProblem(std::string aDetail)
{
  return { http::status::bad_request,
           "The request can't be read",
           std::move(aDetail) };
}

// The problem of a request whose body can't be read. Unless `aOutcome` is
// not_run, a backend server may have got a part of the body.
caller_problem
MalformedBodyProblem(const caller_body& aBody,
                     outcome_kind::type aOutcome,
                     std::string_view aReason)
{
  caller_problem problem =
    MalformedProblem(absl::StrCat("step=receive_body ", std::string(aReason)));
  if (aBody.IsTooLong()) {
    problem.mStatus = http::status::payload_too_large;
  }
  if (aOutcome != outcome_kind::not_run) {
    problem.mOutcome = "unknown";
  }
  return problem;
}

// Logs one line per request without a complete response.
void
LogEnd(const routed_request& aRequest,
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

absl::Status
ReadSmallBody(caller_body& aBody, caller_sink& aSink, std::string& aBytes)
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

} // namespace

// A request from its first run until its response was sent or given up.
class caller_connection::outstanding_request
{
public:
  outstanding_request(caller_connection& aConnection, bool aMayOverlap)
    : mConnection(aConnection)
    , mNumber(aConnection.mOrder.Add(aMayOverlap))
    , mCancellation([&aConnection] { return aConnection.HasCallerLeft(); })
  {
    mConnection.mCancellations.insert(&mCancellation);
    if (mConnection.mOrder.Outstanding() > 1) {
      mConnection.mServices.mMetrics.CountPipelined();
    }
  }
  outstanding_request(const outstanding_request&) = delete;
  outstanding_request& operator=(const outstanding_request&) = delete;
  ~outstanding_request()
  {
    mConnection.mCancellations.erase(&mCancellation);
    // Without its turn it ends only if the connection has failed.
    if (mConnection.mOrder.IsTurn(mNumber)) {
      mConnection.mOrder.Finish(mNumber);
    }
    mConnection.mInput.MarkIdle();
    mConnection.mChanged.notify_all();
  }

  std::int64_t Number() const { return mNumber; }
  cancellation& Cancellation() { return mCancellation; }

private:
  caller_connection& mConnection;
  std::int64_t mNumber;
  cancellation mCancellation;
};

// The place of one response among those of the connection.
class caller_connection::gate : public response_gate
{
public:
  // `aParser` has read the head of the request.
  gate(caller_connection& aConnection,
       const outstanding_request& aRequest,
       const caller_parser& aParser)
    : mConnection(aConnection)
    , mNumber(aRequest.Number())
    , mParser(aParser)
  {
  }

  void ForceClose() { mMustClose = true; }

  bool IsTurn() const override { return mConnection.mOrder.IsTurn(mNumber); }

  bool ShouldHold() const override
  {
    return !IsTurn() || mConnection.mOrder.HasLater(mNumber);
  }

  absl::Status AwaitTurn() override
  {
    std::unique_lock<boost::fibers::mutex> lock(mConnection.mMutex);
    mConnection.mChanged.wait(
      lock, [&] { return IsTurn() || !mConnection.IsUsable(); });
    if (!mConnection.IsUsable()) {
      return MakeError(absl::StatusCode::kUnavailable,
                       "answer",
                       "caller",
                       "the connection has ended");
    }
    return absl::OkStatus();
  }

  bool TryHold(std::size_t aBytes) override
  {
    return mConnection.mOrder.TryHold(mNumber, aBytes);
  }

  // A draining node closes the connection with the last response of the
  // requests that it has read.
  bool BeginResponse() override
  {
    const bool is_last_of_drain =
      mConnection.IsDraining() && !mConnection.mOrder.HasLater(mNumber);
    const bool keep_alive = !mMustClose && !is_last_of_drain &&
                            mParser.keep_alive() && mParser.is_done();
    mConnection.mOrder.BeginSending();
    if (!keep_alive) {
      mConnection.mOrder.Close();
      mConnection.mInput.Cancel();
    }
    return keep_alive;
  }

private:
  caller_connection& mConnection;
  std::int64_t mNumber;
  const caller_parser& mParser;
  bool mMustClose = false;
};

caller_connection::caller_connection(caller_services& aServices,
                                     tcp_socket aSocket)
  : mServices(aServices)
  , mStream(std::move(aSocket))
  , mInput(
      mStream,
      { [this] { return mOrder.Outstanding() == 0; }, [this] { OnHangup(); } })
  , mOrder(aServices.mLookAhead)
{
}

caller_connection::~caller_connection() = default;

void
caller_connection::Serve()
{
  const auto self = shared_from_this();
  try {
    while (ServeNextRequest()) {
    }
  } catch (const std::exception& error) {
    // An unexpected error ends the connection, not the process.
    log_event("connection_failed", log_level::kError)
      .With("reason", error.what());
    Fail();
  }
}

// Returns whether this fiber reads the next request.
bool
caller_connection::ServeNextRequest()
{
  const duration idle_timeout =
    mServices.mRoutingState.Latest()->mConfiguration->mLimits.mIdleTimeout;
  if (!AwaitRoom() || mInput.AwaitBytes(idle_timeout)) {
    EndReading();
    return false;
  }
  const auto snapshot = mServices.mRoutingState.Latest();
  const caller_limits& limits = snapshot->mConfiguration->mLimits;
  caller_parser parser;
  parser.body_limit(boost::none);
  if (!ReadHead(parser, limits)) {
    EndReading();
    return false;
  }
  const instant began = boot_clock::now();
  routed_request request;
  const std::string& id_name = mServices.mHeaderNames.mAttemptId;
  request.mHead.is_call =
    !id_name.empty() && mServices.mRouter.IsCall(parser.get()[id_name]);
  const std::optional<caller_problem> refused =
    mServices.mResolver.Resolve(*snapshot, parser, mInput.ArrivedAt(), request);
  if (refused) {
    mServices.mMetrics.CountMalformed();
    LogRefusal(request, *refused, *snapshot);
    Refuse(*refused, parser, false);
    return true;
  }
  const bool may_overlap = request.mIsIdempotent && parser.is_done();
  if (!(may_overlap ? AwaitRoom() : AwaitAnswered())) {
    EndReading();
    return false;
  }
  if (std::optional<caller_problem> late = FindLateProblem(request)) {
    Refuse(*late, parser, true);
    return true;
  }
  if (may_overlap) {
    return RunSideBySide(request, parser, began);
  }
  RunAlone(request, parser, began);
  return true;
}

// Waits until another request may be read; false if none is to be read.
bool
caller_connection::AwaitRoom()
{
  AwaitChange([&] {
    const bool must_end = IsDraining() && mOrder.Outstanding() > 0;
    return mOrder.IsClosed() || (mOrder.MayAdd(true) && !must_end);
  });
  return MayRunMore();
}

// Waits until all requests are answered; false if none is to be run any more.
bool
caller_connection::AwaitAnswered()
{
  AwaitChange([&] { return mCancellations.empty(); });
  return MayRunMore();
}

// Waits for the condition or a failure of the connection. Watches for a close,
// since nothing is read meanwhile.
template<class condition_type>
void
caller_connection::AwaitChange(const condition_type& aCondition)
{
  const auto is_over = [&] { return aCondition() || !IsUsable(); };
  if (is_over()) {
    return;
  }
  const hangup_watch watch(
    mStream.socket(), [this] { OnHangup(); }, hangup_watch::mode::kShared);
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  mChanged.wait(lock, is_over);
  mInput.MarkWaiting(watch.InputSeenAt());
}

// Returns whether the head was read. Refuses one that is malformed.
bool
caller_connection::ReadHead(caller_parser& aParser,
                            const caller_limits& aLimits)
{
  const boost::system::error_code error =
    mInput.ReadHead(aParser,
                    static_cast<std::size_t>(aLimits.mHeadBytes),
                    aLimits.mHeadTimeout);
  if (!error) {
    return true;
  }
  if (error.category() == asio::error::get_system_category()) {
    return false; // a timeout, or the connection has ended
  }
  mServices.mMetrics.CountMalformed();
  caller_problem problem =
    MalformedProblem("step=receive_head " + error.message());
  if (error == http::error::header_limit) {
    problem.mStatus = http::status::request_header_fields_too_large;
  }
  Refuse(problem, aParser, true);
  return false;
}

// Lets another fiber read once there is input, while this one runs a request.
void
caller_connection::PassReadingOn()
{
  mIsRead = false;
  if (mInput.HasBytes()) {
    ContinueOnOtherFiber();
  } else {
    mInput.NotifyOfInput([self = shared_from_this()] { self->OnInputReady(); });
  }
}

// Returns whether this fiber reads again; false if another one does.
bool
caller_connection::TakeReadingBack()
{
  if (std::exchange(mIsRead, true)) {
    return false;
  }
  mInput.Cancel();
  return true;
}

void
caller_connection::OnInputReady()
{
  if (HasHungUp(mStream.socket())) {
    OnHangup();
  } else {
    ContinueOnOtherFiber();
  }
}

void
caller_connection::ContinueOnOtherFiber()
{
  mIsRead = true;
  boost::fibers::fiber([self = shared_from_this()] { self->Serve(); }).detach();
}

// Closes the connection after the outstanding responses.
void
caller_connection::EndReading()
{
  boost::system::error_code ignored;
  AwaitAnswered();
  if (IsUsable() && mOrder.IsClosed()) {
    mStream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    mInput.Discard(kMaxDiscardTime);
  }
  mStream.socket().shutdown(asio::socket_base::shutdown_both, ignored);
}

// Each close means that the caller has left, also one of its sending half: see
// docs/DESIGN.md.
void
caller_connection::OnHangup()
{
  if (std::exchange(mHasLeft, true)) {
    return;
  }
  if (!mCancellations.empty()) {
    log_event("caller_closed")
      .With("request", mLatestAttempt)
      .With("outstanding", mCancellations.size())
      .With("read_us", (boot_clock::now() - mInput.ReadAt()).count());
  }
  CancelAll();
}

// Looks for a close that no event has reported yet.
bool
caller_connection::HasCallerLeft()
{
  if (HasBeenClosed(mStream.socket())) {
    OnHangup();
  }
  return mHasLeft;
}

// Ends the connection at once: after a part of a response, only that shows the
// caller that it is incomplete.
void
caller_connection::Fail()
{
  mHasFailed = true;
  boost::system::error_code ignored;
  mStream.socket().shutdown(asio::socket_base::shutdown_both, ignored);
  CancelAll();
}

void
caller_connection::CancelAll()
{
  mInput.Cancel();
  for (cancellation* request : mCancellations) {
    request->Cancel();
  }
  mChanged.notify_all();
}

bool
caller_connection::IsDraining() const
{
  return mServices.mRoutingState.Latest()->mIsDraining;
}

// Why the request comes too late to be run, if it does.
std::optional<caller_problem>
caller_connection::FindLateProblem(const routed_request& aRequest)
{
  const bool may_be_cut = boot_clock::now() >= mServices.mRefuseFrom &&
                          aRequest.mDeadline >= mServices.mEndBy;
  if (may_be_cut) {
    return NotRunProblem(
      "step=stop the node shuts down before the request's deadline");
  }
  if (HasBeenClosed(mStream.socket())) {
    log_event("request_dropped", log_level::kWarning)
      .With("request", aRequest.mHead.attempt_id)
      .With("service", aRequest.mHead.service_name)
      .With("read_late_us", (boot_clock::now() - mInput.ArrivedAt()).count())
      .With("reason", "the caller closed the connection before it was read");
    return NotRunProblem("step=receive the connection was closed before "
                         "the request was read");
  }
  return std::nullopt;
}

// Sends the problem in its turn. The connection stays open only if the request
// allows it and `aMustClose` isn't set.
void
caller_connection::Refuse(const caller_problem& aProblem,
                          const caller_parser& aParser,
                          bool aMustClose)
{
  if (!AwaitAnswered()) {
    return;
  }
  outstanding_request outstanding(*this, false);
  gate turn(*this, outstanding, aParser);
  if (aMustClose) {
    turn.ForceClose();
  }
  SendProblem(aProblem, turn);
}

// What bounds the bytes held for the caller; null if none are held.
byte_budget*
caller_connection::SlowReadersOf(const routed_request& aRequest)
{
  return aRequest.mHasLargeResponse ? &mServices.mSlowReaders : nullptr;
}

// Returns whether this fiber reads the next request.
bool
caller_connection::RunSideBySide(routed_request& aRequest,
                                 const caller_parser& aParser,
                                 instant aBegan)
{
  const bool keep_alive = aParser.keep_alive();
  {
    outstanding_request outstanding(*this, true);
    gate turn(*this, outstanding, aParser);
    caller_sink sink(
      mStream, aParser, turn, SlowReadersOf(aRequest), aRequest.mDeadline);
    std::optional<hangup_watch> watch;
    if (keep_alive) {
      PassReadingOn();
    } else {
      watch.emplace(
        mStream.socket(), [this] { OnHangup(); }, hangup_watch::mode::kShared);
    }
    memory_body no_body("");
    const request_result result =
      Run(aRequest, "", no_body, sink, outstanding, aBegan);
    FinishResponse(result, sink, turn);
  }
  return keep_alive ? TakeReadingBack() : true;
}

void
caller_connection::RunAlone(routed_request& aRequest,
                            caller_parser& aParser,
                            instant aBegan)
{
  outstanding_request outstanding(*this, false);
  gate turn(*this, outstanding, aParser);
  caller_sink sink(
    mStream, aParser, turn, SlowReadersOf(aRequest), aRequest.mDeadline);
  caller_body body(mStream, mInput.Http(), aParser);
  std::string small_body;
  if (!aRequest.mHead.await_ready) {
    const absl::Status read = ReadSmallBody(body, sink, small_body);
    if (!read.ok() && body.IsMalformed()) {
      mServices.mMetrics.CountMalformed();
      turn.ForceClose();
      SendProblem(
        MalformedBodyProblem(body, outcome_kind::not_run, Reason(read)), turn);
      return;
    }
    if (!read.ok()) {
      Fail(); // the body was incomplete; nothing was run
      return;
    }
    mInput.MarkRead();
    // The body may have come slowly.
    if (std::optional<caller_problem> late = FindLateProblem(aRequest)) {
      turn.ForceClose();
      SendProblem(*late, turn);
      return;
    }
  }
  body.NotifyOfHangup([this] { OnHangup(); });
  const request_result result =
    Run(aRequest, small_body, body, sink, outstanding, aBegan);
  body.StopWatching();
  mInput.MarkWaiting(body.InputSeenAt());
  if (body.IsMalformed() && !result.IsAnswered() && !sink.HasBegun()) {
    SendProblem(MalformedBodyProblem(body, result.mKind, result.mReason), turn);
  } else {
    FinishResponse(result, sink, turn);
  }
  if (!aParser.is_done()) {
    mOrder.Close(); // the rest of the body would be taken for a request
  }
}

request_result
caller_connection::Run(routed_request& aRequest,
                       std::string_view aSmallBody,
                       body_source& aBody,
                       caller_sink& aSink,
                       outstanding_request& aOutstanding,
                       instant aBegan)
{
  ++mServices.mRunning;
  mLatestAttempt = aRequest.mHead.attempt_id;
  request_result result = mServices.mRouter.Run(
    aRequest, aSmallBody, aBody, aSink, aOutstanding.Cancellation());
  --mServices.mRunning;
  const duration took = boot_clock::now() - aBegan;
  mServices.mMetrics.Count(result, took);
  LogEnd(aRequest, result, took);
  return result;
}

// Completes the response, or sends a problem document if none has begun.
void
caller_connection::FinishResponse(const request_result& aResult,
                                  caller_sink& aSink,
                                  gate& aGate)
{
  if (!aResult.IsAnswered() && !aSink.HasBegun()) {
    SendProblem(ProblemOf(aResult), aGate);
  } else if (!aResult.IsAnswered() || !aSink.Finish().ok()) {
    Fail();
  }
}

void
caller_connection::SendProblem(const caller_problem& aProblem, gate& aGate)
{
  if (!aGate.AwaitTurn().ok()) {
    return;
  }
  http::response<http::string_body> answer =
    MakeResponse(aProblem, mServices.mHeaderNames);
  answer.keep_alive(aGate.BeginResponse());
  answer.prepare_payload();
  ExpireAt(mStream, boot_clock::now() + kCallerIoTimeout);
  const io_result written = AwaitIo([&](auto aHandler) {
    http::async_write(mStream, answer, std::move(aHandler));
  });
  if (written.mError) {
    Fail();
  }
}

} // namespace plantaindale
