#include "plantaindale/request/caller_server.h"

#include <charconv>
#include <optional>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/key_finder.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kFirstRead = 4096; // bytes
// A caller that sends or takes nothing for so long is given up.
constexpr duration kStallLimit = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kAcceptPause{ 20 };
constexpr std::int64_t kSmallBody = 64 * 1024; // bytes; held to be sent again
// A caller whose request was answered before it was read may go on sending for
// so long; to close at once would reset the connection and lose the answer.
constexpr duration kLongestDiscard = std::chrono::seconds(1);
// When a refused caller is asked to come back: about the time in which a slot
// becomes free.
constexpr std::string_view kRetryAfter = "0.1"; // seconds

using head_parser = http::request_parser<http::buffer_body>;

// A caller's body as it comes in.
class caller_body : public body_source
{
public:
  caller_body(tcp_stream& aStream,
              boost::beast::flat_buffer& aBuffer,
              head_parser& aParser)
    : mStream(aStream)
    , mBuffer(aBuffer)
    , mParser(aParser)
  {
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override
  {
    return Read(aBuffer, boot_clock::now() + kStallLimit);
  }

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer, instant aDeadline)
  {
    while (!mParser.is_done()) {
      mParser.get().body().data = aBuffer.data();
      mParser.get().body().size = aBuffer.size();
      ExpireAt(mStream, aDeadline);
      io_result read = AwaitIo([&](auto aHandler) {
        http::async_read_some(mStream, mBuffer, mParser, std::move(aHandler));
      });
      if (read.mError && read.mError != http::error::need_buffer) {
        mHasFailed = true;
        return MakeError(absl::StatusCode::kDataLoss,
                         "receive_body",
                         "caller",
                         read.mError.message());
      }
      const std::size_t got = aBuffer.size() - mParser.get().body().size;
      if (got > 0) {
        return got;
      }
    }
    return 0;
  }

  bool HasFailed() const { return mHasFailed; }

private:
  tcp_stream& mStream;
  boost::beast::flat_buffer& mBuffer;
  head_parser& mParser;
  bool mHasFailed = false;
};

// Passes an answer to the caller. A small answer leaves in one piece.
class caller_sink : public answer_sink
{
public:
  caller_sink(tcp_stream& aStream, const head_parser& aParser, bool aKeepAlive)
    : mStream(aStream)
    , mKeepAlive(aKeepAlive)
    , mIsHead(aParser.get().method() == http::verb::head)
    , mExpectsContinue(boost::beast::iequals(aParser.get()[http::field::expect],
                                             "100-continue"))
  {
  }

  absl::Status Ready() override
  {
    if (!std::exchange(mExpectsContinue, false)) {
      return absl::OkStatus();
    }
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    ExpireAt(mStream, boot_clock::now() + kStallLimit);
    return ToStatus(AwaitIo([&](auto aHandler) {
      http::async_write(mStream, go_on, std::move(aHandler));
    }));
  }

  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mHasBegun = true;
    mAnswer.result(static_cast<unsigned>(aHead.status));
    mAnswer.version(11);
    AddFields(aHead.fields, mAnswer);
    mAnswer.keep_alive(mKeepAlive);
    if (aHead.body_bytes >= 0) {
      mAnswer.content_length(static_cast<std::uint64_t>(aHead.body_bytes));
    } else if (!mIsHead && MayHaveBody(aHead.status)) {
      mAnswer.chunked(true);
    }
    mSerializer.emplace(mAnswer);
    return absl::OkStatus();
  }

  absl::Status Body(std::span<const char> aBytes) override
  {
    // The library takes a pointer to what it only reads.
    mAnswer.body().data = const_cast<char*>(aBytes.data());
    mAnswer.body().size = aBytes.size();
    mAnswer.body().more = true;
    return Write();
  }

  // The answer is whole: sends what is left of it.
  absl::Status Finish()
  {
    if (mSerializer->is_done()) {
      return absl::OkStatus();
    }
    mAnswer.body().data = nullptr;
    mAnswer.body().size = 0;
    mAnswer.body().more = false;
    return Write();
  }

  bool HasBegun() const { return mHasBegun; }

private:
  static bool MayHaveBody(int aStatus)
  {
    return aStatus >= 200 && aStatus != 204 && aStatus != 304;
  }

  absl::Status Write()
  {
    ExpireAt(mStream, boot_clock::now() + kStallLimit);
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, *mSerializer, std::move(aHandler));
    });
    if (written.mError == http::error::need_buffer) {
      written.mError = {};
    }
    return ToStatus(written);
  }

  static absl::Status ToStatus(const io_result& aResult)
  {
    if (!aResult.mError) {
      return absl::OkStatus();
    }
    return MakeError(absl::StatusCode::kUnavailable,
                     "answer",
                     "caller",
                     aResult.mError.message());
  }

  tcp_stream& mStream;
  bool mKeepAlive;
  bool mIsHead;
  bool mExpectsContinue;
  bool mHasBegun = false;
  http::response<http::buffer_body> mAnswer;
  std::optional<http::response_serializer<http::buffer_body>> mSerializer;
};

// What a problem document says of a request without an answer.
struct problem
{
  http::status mStatus = http::status::bad_request;
  std::string mTitle;
  std::string mDetail;
  std::string_view mOutcome = "not-run";
  bool mMayRetryLater = false;
};

problem
ProblemOf(const request_result& aResult)
{
  std::string detail = absl::StrCat("step=", aResult.mStep);
  if (!aResult.mPeer.empty()) {
    absl::StrAppend(&detail, " peer=", aResult.mPeer);
  }
  absl::StrAppend(&detail, " ", aResult.mReason);
  if (aResult.mKind == outcome_kind::not_run) {
    return { http::status::service_unavailable,
             "The request was not run",
             detail,
             "not-run",
             true };
  }
  return { http::status::gateway_timeout,
           "Whether the request was run is not known",
           detail,
           "unknown",
           false };
}

} // namespace

// One caller's connection.
class caller_server::connection
{
public:
  connection(caller_server& aServer, tcp_socket aSocket)
    : mServer(aServer)
    , mStream(std::move(aSocket))
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
  // Whether the connection may carry another request.
  bool ServeRequest()
  {
    const auto first = mServer.mBoard.Latest();
    if (!AwaitInput(first->mConfiguration->mLimits)) {
      return false;
    }
    const auto snapshot = mServer.mBoard.Latest();
    const caller_limits& limits = snapshot->mConfiguration->mLimits;
    head_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.mHeadBytes));
    parser.body_limit(boost::none);
    if (!ReadHead(parser, limits)) {
      return false;
    }
    const instant began = boot_clock::now();
    routed_request request;
    std::optional<problem> refused = Describe(*snapshot, parser, request);
    if (refused) {
      mServer.mMetrics.CountMalformed();
      LogRefusal(request, *refused, *snapshot);
      return Refuse(*refused, parser);
    }
    if (mServer.MayEndBefore(request.mDeadline)) {
      SendProblem({ http::status::service_unavailable,
                    "The request was not run",
                    "step=stop the node is about to end",
                    "not-run",
                    true },
                  false);
      return false;
    }
    caller_body body(mStream, mBuffer, parser);
    // A node that leaves lets its callers go with an answer each.
    const bool keep_alive = parser.keep_alive() && !snapshot->mIsDraining;
    caller_sink sink(mStream, parser, keep_alive);
    std::string small_body;
    if (!request.mHead.await_ready) {
      const absl::Status read = ReadSmallBody(body, sink, small_body);
      if (!read.ok()) {
        return false; // the caller broke off before anything was run
      }
    }
    ++mServer.mRunning;
    const request_result result = Run(request, small_body, body, sink);
    --mServer.mRunning;
    const duration took = boot_clock::now() - began;
    mServer.mMetrics.Count(result.mKind, took);
    LogEnd(request, result, took);
    const bool may_go_on =
      Conclude(result, sink, keep_alive && parser.is_done());
    if (!parser.is_done() && !body.HasFailed()) {
      Discard(body);
    }
    return may_go_on;
  }

  // Waits for the first byte of a request.
  bool AwaitInput(const caller_limits& aLimits)
  {
    if (mBuffer.size() > 0) {
      return true;
    }
    ExpireAt(mStream, boot_clock::now() + aLimits.mIdleTimeout);
    io_result read = AwaitIo([&](auto aHandler) {
      mStream.async_read_some(mBuffer.prepare(kFirstRead), std::move(aHandler));
    });
    if (read.mError) {
      return false;
    }
    mBuffer.commit(read.mBytes);
    return true;
  }

  void Discard(caller_body& aBody)
  {
    boost::system::error_code ignored;
    mStream.socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
    std::vector<char> chunk(kChunkSize);
    const instant give_up = boot_clock::now() + kLongestDiscard;
    while (boot_clock::now() < give_up) {
      auto got = aBody.Read(chunk, give_up);
      if (!got.ok() || *got == 0) {
        return;
      }
    }
  }

  // One line for each request that was refused by what it says.
  static void LogRefusal(const routed_request& aRequest,
                         const problem& aProblem,
                         const routing_snapshot& aSnapshot)
  {
    log_event("request_refused", log_level::kWarning)
      .With("request", aRequest.mHead.attempt_id)
      .With("status", static_cast<int>(aProblem.mStatus))
      .With("config", aSnapshot.mConfiguration->mNumber)
      .With("reason", aProblem.mDetail);
  }

  // One line for each request that ended without an answer.
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

  bool ReadHead(head_parser& aParser, const caller_limits& aLimits)
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

  // Finds service, key and limits; a problem when the request can't be taken.
  std::optional<problem> Describe(const routing_snapshot& aSnapshot,
                                  head_parser& aParser,
                                  routed_request& aRequest)
  {
    const auto& message = aParser.get();
    if (!mServer.mDialect.mAttemptId.empty()) {
      aRequest.mHead.attempt_id = message[mServer.mDialect.mAttemptId];
    }
    const std::string_view target = message.target();
    if (!target.starts_with('/')) {
      return problem{ http::status::bad_request,
                      "The request can't be read",
                      "step=route expected a target that starts with /" };
    }
    const cluster_configuration& configuration = *aSnapshot.mConfiguration;
    if (configuration.mNumber == 0) {
      return problem{ http::status::service_unavailable,
                      "The request was not run",
                      "step=route no configuration is known yet",
                      "not-run",
                      true };
    }
    const route_configuration* route = configuration.FindRoute(
      message[http::field::host], target.substr(0, target.find('?')));
    if (route == nullptr) {
      return problem{ http::status::not_found,
                      "No service takes this request",
                      absl::StrCat("step=route no host and path of version ",
                                   configuration.mNumber,
                                   " fit") };
    }
    std::uniform_real_distribution<double> part(0, 1);
    const service_configuration* service =
      configuration.Find(ChooseTarget(*route, part(mServer.mRandom)).mService);
    protocol::request_head& head = aRequest.mHead;
    head.service_name = service->mName;
    head.shard = -1;
    head.method = message.method_string();
    head.target = target;
    head.priority = route->mPriority;
    head.fields = EndToEndFields(message);
    SetOwnFields(head);
    aRequest.mIsIdempotent =
      route->mIsIdempotent.value_or(IsIdempotent(head.method, *service));
    aRequest.mMostServers = route->mMostServers;
    if (auto refused = DescribeKey(*service, aRequest)) {
      return refused;
    }
    if (auto refused = DescribeBody(
          aParser, LargestBody(configuration.mLimits, *service), head)) {
      return refused;
    }
    return FindDeadline(message, *route, aRequest);
  }

  // What this node says in its own name replaces whatever the caller said.
  void SetOwnFields(protocol::request_head& aHead)
  {
    const http_dialect& dialect = mServer.mDialect;
    for (const std::string* name : { &dialect.mDeadlineLeft,
                                     &dialect.mExpectedInstance,
                                     &dialect.mCallerService }) {
      if (!name->empty()) {
        RemoveField(aHead.fields, *name);
      }
    }
    if (!dialect.mCallerService.empty()) {
      protocol::header_field field;
      field.name = dialect.mCallerService;
      field.value = mServer.mBesideService;
      aHead.fields.push_back(std::move(field));
    }
  }

  static std::optional<problem> DescribeKey(
    const service_configuration& aService,
    routed_request& aRequest)
  {
    if (!aService.mKey) {
      return std::nullopt;
    }
    protocol::request_head& head = aRequest.mHead;
    const auto refuse = [](const absl::Status& aStatus) {
      return problem{ http::status::bad_request,
                      "The request has no key",
                      std::string(Reason(aStatus)) };
    };
    auto key = FindKey(*aService.mKey, head);
    if (!key.ok()) {
      return refuse(key.status());
    }
    head.key = *std::move(key);
    const auto shard = FindShard(aService, head.key);
    if (!shard.ok()) {
      return refuse(shard.status());
    }
    head.shard = *shard;
    aRequest.mIsKeyed = true;
    return std::nullopt;
  }

  // The lesser of two limits of which 0 is none.
  static std::int64_t LargestBody(const caller_limits& aLimits,
                                  const service_configuration& aService)
  {
    if (aLimits.mBodyBytes == 0 || aService.mLargestBody == 0) {
      return std::max(aLimits.mBodyBytes, aService.mLargestBody);
    }
    return std::min(aLimits.mBodyBytes, aService.mLargestBody);
  }

  static std::optional<problem> DescribeBody(head_parser& aParser,
                                             std::int64_t aLargest,
                                             protocol::request_head& aHead)
  {
    const auto length = aParser.content_length();
    aHead.body_bytes = 0;
    if (aParser.chunked()) {
      aHead.body_bytes = -1;
    } else if (length) {
      aHead.body_bytes = static_cast<std::int64_t>(*length);
    }
    const bool is_too_large = aLargest > 0 && aHead.body_bytes > aLargest;
    if (is_too_large) {
      return problem{ http::status::payload_too_large,
                      "The body is too large",
                      absl::StrCat(
                        "step=receive_head at most ", aLargest, " bytes") };
    }
    if (aLargest > 0) {
      aParser.body_limit(static_cast<std::uint64_t>(aLargest));
    }
    aHead.await_ready = aHead.body_bytes < 0 || aHead.body_bytes > kSmallBody;
    return std::nullopt;
  }

  std::optional<problem> FindDeadline(const http::fields& aFields,
                                      const route_configuration& aRoute,
                                      routed_request& aRequest) const
  {
    std::chrono::milliseconds allowed = aRoute.mTimeout;
    const std::string_view asked = aFields[mServer.mDialect.mDeadlineLeft];
    if (!asked.empty()) {
      std::int64_t milliseconds = 0;
      const auto parsed = std::from_chars(
        asked.data(), asked.data() + asked.size(), milliseconds);
      const bool is_number = parsed.ec == std::errc() &&
                             parsed.ptr == asked.data() + asked.size() &&
                             milliseconds > 0;
      if (!is_number) {
        return problem{ http::status::bad_request,
                        "The deadline can't be read",
                        "step=receive_head expected whole milliseconds > 0" };
      }
      allowed = std::min(allowed, std::chrono::milliseconds(milliseconds));
    }
    const instant now = boot_clock::now();
    aRequest.mDeadline = now + allowed;
    aRequest.mTarget = now + aRoute.mTargetLatency;
    return std::nullopt;
  }

  static absl::Status ReadSmallBody(caller_body& aBody,
                                    caller_sink& aSink,
                                    std::string& aBytes)
  {
    if (absl::Status ready = aSink.Ready(); !ready.ok()) {
      return ready;
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
    std::optional<hangup_watch> watch;
    if (!aRequest.mHead.await_ready && mBuffer.size() == 0) {
      watch.emplace(mStream.socket(), [&] { cancelled.Cancel(); });
    }
    return mServer.mRouter.Run(aRequest, aSmallBody, aBody, aSink, cancelled);
  }

  // `aMayGoOn`: the caller wants to, and its body was read whole.
  bool Conclude(const request_result& aResult,
                caller_sink& aSink,
                bool aMayGoOn)
  {
    if (aResult.IsAnswered()) {
      return aSink.Finish().ok() && aMayGoOn;
    }
    if (aSink.HasBegun()) {
      return false; // broken off, and seen to be
    }
    return SendProblem(ProblemOf(aResult), aMayGoOn);
  }

  bool Refuse(const problem& aProblem, head_parser& aParser)
  {
    return SendProblem(aProblem, aParser.keep_alive() && aParser.is_done());
  }

  bool SendProblem(const problem& aProblem, bool aKeepAlive)
  {
    http::response<http::string_body> answer(aProblem.mStatus, 11);
    answer.set(http::field::content_type, "application/problem+json");
    answer.set(mServer.mDialect.mOutcome, aProblem.mOutcome);
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
    ExpireAt(mStream, boot_clock::now() + kStallLimit);
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, answer, std::move(aHandler));
    });
    return !written.mError && aKeepAlive;
  }

  caller_server& mServer;
  tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
};

caller_server::caller_server(boost::asio::io_context& aContext,
                             const routing_board& aBoard,
                             request_router& aRouter,
                             request_metrics& aMetrics,
                             const http_dialect& aDialect,
                             std::string aBesideService)
  : mContext(aContext)
  , mBoard(aBoard)
  , mRouter(aRouter)
  , mMetrics(aMetrics)
  , mDialect(aDialect)
  , mBesideService(std::move(aBesideService))
  , mRandom(std::random_device()())
  , mAcceptor(aContext)
{
}

absl::Status
caller_server::Listen(std::string_view aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
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
caller_server::MayEndBefore(instant aDeadline) const
{
  return boot_clock::now() >= mRefuseFrom && aDeadline >= mEndBy;
}

void
caller_server::AcceptLoop()
{
  for (;;) {
    tcp_socket socket(mContext);
    io_result accepted = AwaitIo([&](auto aHandler) {
      mAcceptor.async_accept(socket, std::move(aHandler));
    });
    if (!mAcceptor.is_open()) {
      return;
    }
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      connection(*this, std::move(socket)).Serve();
    }).detach();
  }
}

} // namespace plantaindale
