#include "stand_ins/backend_server/server.h"

#include <charconv>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "plantaindale/base/hash.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/hangup_watch.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/http_header_names.h"
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

namespace plantaindale::stand_ins {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

const http_header_names kHeaderNames; // the default names
constexpr std::chrono::milliseconds kAnnounceInterval{ 500 };
constexpr std::chrono::milliseconds kWorkPollInterval{ 5 };
constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr std::size_t kMaxNoticeBytes =
  1024; // the rest of a body is only hashed
constexpr std::chrono::minutes kConnectionIdleTimeout{ 10 };
constexpr std::string_view kDeadlyPath = "/deadly";
constexpr std::chrono::milliseconds kTimeToCrash{ 50 };

std::int64_t
ToNumber(std::string_view aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

// Result of reading a request's body.
struct received_body
{
  std::int64_t mBytes = 0;
  std::uint64_t mHash = 0;
  std::string mPrefix;
  bool mIsFullyRead = false;
};

} // namespace

class server::connection
{
public:
  connection(server& aServer, tcp_socket aSocket)
    : mServer(aServer)
    , mStream(std::move(aSocket))
  {
  }

  void Serve()
  {
    while (ServeRequest()) {
    }
  }

private:
  using parser = http::request_parser<http::buffer_body>;

  bool ServeRequest()
  {
    parser parser;
    parser.body_limit(boost::none);
    mStream.expires_after(kConnectionIdleTimeout);
    const io_result read = mInput.ReadHead(mStream, parser);
    if (read.mError) {
      return false;
    }
    mTarget.mTarget = parser.get().target();
    if (mTarget.Path().starts_with("/plantaindale/")) {
      return ServeControl(parser);
    }
    return ServeRun(parser);
  }

  bool ServeControl(parser& aParser)
  {
    http::status status = http::status::ok;
    if (mTarget.Path() == "/plantaindale/grant") {
      status = ChangeGrant(aParser, true);
    } else if (mTarget.Path() == "/plantaindale/release") {
      status = ChangeGrant(aParser, false);
    } else if (mTarget.Path() == "/plantaindale/lease") {
      mServer.mLeaseUntil = FromMicros(ToNumber(mTarget.Query("until_us")));
    } else if (mTarget.Path() == "/plantaindale/warm") {
      mServer.WarmUp(std::string(mTarget.Query("shard")));
    } else if (mTarget.Path() == "/plantaindale/leave") {
      mServer.mIsLeaving = true;
    }
    return Respond(status, "{}", aParser.keep_alive());
  }

  // Takes a grant of keys, or a release.
  http::status ChangeGrant(parser& aParser, bool aIsGrant)
  {
    const instant arrived = boot_clock::now();
    const received_body body = ReadBody(aParser);
    const json::value call = json::parse(body.mPrefix);
    const auto number = [&](const char* aName) {
      return call.at(aName).to_number<std::int64_t>();
    };
    const std::int64_t from = number("from");
    const std::int64_t to = number("to");
    const std::int64_t fence = number("fence");
    const bool is_accepted =
      aIsGrant ? mServer.mHeldKeys.Grant(
                   from,
                   to,
                   fence,
                   arrived + std::chrono::milliseconds(number("hold_ms")))
               : mServer.mHeldKeys.Release(from, to, fence);
    if (aIsGrant && is_accepted) {
      mServer.mLog.Write("grant",
                         { absl::StrCat(from, "-", to),
                           absl::StrCat(fence),
                           mServer.mSettings.mAnnounced.mInstance,
                           "" },
                         boot_clock::now());
    }
    return is_accepted ? http::status::ok : http::status::conflict;
  }

  bool ServeRun(parser& aParser)
  {
    const auto& fields = aParser.get();
    run_entry entry{ std::string(fields[kHeaderNames.mShard]),
                     std::string(fields[kHeaderNames.mEpoch]),
                     std::string(fields["X-Tag"]),
                     std::string(fields.method_string()) };
    const instant run_until =
      FromMicros(ToNumber(fields[kHeaderNames.mRunUntil]));
    const std::int64_t work_ms = ToNumber(fields["X-Work-Ms"]);
    if (!mServer.MayRun(entry, mTarget.Path(), run_until)) {
      mServer.mLog.Write("refused", entry, boot_clock::now());
      return false;
    }
    if (mServer.mRunning >= mServer.mSettings.mAnnounced.mSlots) {
      mServer.mLog.Write("over_slots", entry, boot_clock::now());
    }
    ++mServer.mRunning;
    mServer.WarmUp(entry.mShard);
    mLastProgress = boot_clock::now();
    mServer.mLog.Write("begin", entry, mLastProgress);
    if (mTarget.Path().find(kDeadlyPath) != std::string_view::npos) {
      boost::this_fiber::sleep_for(kTimeToCrash);
      if (mServer.MayRun(entry, mTarget.Path(), run_until)) {
        mServer.mLog.Write("crash", entry, boot_clock::now());
        _exit(EXIT_FAILURE);
      }
      mServer.mLog.Write("cut", entry, mLastProgress);
      --mServer.mRunning;
      return false;
    }
    if (const std::string_view kind = mTarget.Query("endless"); !kind.empty()) {
      RespondWithoutEnd(kind);
      mServer.mLog.Write("cut", entry, boot_clock::now());
      --mServer.mRunning;
      return false;
    }
    const received_body body = ReadBody(aParser);
    const bool is_done =
      body.mIsFullyRead &&
      SimulateWork(entry, run_until, std::chrono::milliseconds(work_ms));
    bool may_continue = false;
    if (is_done) {
      const std::string answer = Apply(entry, body);
      mServer.mLog.Write("end", entry, boot_clock::now());
      may_continue =
        mTarget.Query("status") == "304"
          ? Respond(http::status::not_modified, "", aParser.keep_alive())
          : Respond(http::status::ok, answer, aParser.keep_alive());
    } else {
      mServer.mLog.Write("cut", entry, mLastProgress);
    }
    --mServer.mRunning;
    return may_continue;
  }

  // Sends bytes of one kind until the reader closes the connection: a header
  // line, header lines, a body without a length, chunks, the extension of a
  // chunk, a trailer line, or interim responses.
  void RespondWithoutEnd(std::string_view aKind)
  {
    std::string begin = "HTTP/1.1 200 OK\r\n";
    std::string part(kChunkBytes, 'n');
    if (aKind == "head") {
      begin += "X-Line: ";
    } else if (aKind == "fields") {
      part = "X-Field: n\r\n";
    } else if (aKind == "body") {
      begin += "\r\n";
    } else if (aKind == "chunks") {
      begin += "Transfer-Encoding: chunked\r\n\r\n";
      part = absl::StrCat(absl::Hex(part.size()), "\r\n", part, "\r\n");
    } else if (aKind == "extension") {
      begin += "Transfer-Encoding: chunked\r\n\r\n5;";
    } else if (aKind == "trailer") {
      begin += "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Line: ";
    } else if (aKind == "interim") {
      begin.clear();
      part = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const auto send = [&](const std::string& aBytes) {
      mStream.expires_after(kConnectionIdleTimeout);
      return AwaitIo([&](auto aHandler) {
        boost::asio::async_write(
          mStream, boost::asio::buffer(aBytes), std::move(aHandler));
      });
    };
    io_result sent = send(begin);
    while (!sent.mError) {
      sent = send(part);
    }
  }

  received_body ReadBody(parser& aParser)
  {
    received_body body;
    XXH64_state_t* hash = XXH64_createState();
    XXH64_reset(hash, 0);
    std::vector<char> chunk(kChunkBytes);
    while (!aParser.is_done()) {
      aParser.get().body().data = chunk.data();
      aParser.get().body().size = chunk.size();
      mStream.expires_after(kConnectionIdleTimeout);
      const io_result read = mInput.ReadAll(mStream, aParser);
      if (read.mError && read.mError != http::error::need_buffer) {
        XXH64_freeState(hash);
        return body;
      }
      const std::size_t got = chunk.size() - aParser.get().body().size;
      mLastProgress = boot_clock::now();
      XXH64_update(hash, chunk.data(), got);
      body.mBytes += static_cast<std::int64_t>(got);
      if (body.mPrefix.size() < kMaxNoticeBytes) {
        body.mPrefix.append(
          chunk.data(), std::min(got, kMaxNoticeBytes - body.mPrefix.size()));
      }
    }
    body.mHash = XXH64_digest(hash);
    body.mIsFullyRead = true;
    XXH64_freeState(hash);
    return body;
  }

  // Keeps the request running for `aTime`. Returns false if the caller closed
  // the connection or the server may no longer run the request.
  bool SimulateWork(const run_entry& aEntry,
                    instant aRunUntil,
                    std::chrono::milliseconds aTime)
  {
    bool has_gone = false;
    std::optional<hangup_watch> watch;
    if (aTime.count() > 0) {
      watch.emplace(mStream.socket(), [&] { has_gone = true; });
    }
    const instant end = boot_clock::now() + aTime;
    while (boot_clock::now() < end) {
      boost::this_fiber::sleep_for(kWorkPollInterval);
      if (has_gone || !mServer.MayRun(aEntry, mTarget.Path(), aRunUntil)) {
        return false;
      }
      mLastProgress = boot_clock::now();
    }
    return true;
  }

  std::string Apply(const run_entry& aEntry, const received_body& aBody)
  {
    const std::int64_t requested_bytes = ToNumber(mTarget.Query("bytes"));
    if (aEntry.mMethod == "GET" && requested_bytes > 0) {
      return std::string(static_cast<std::size_t>(requested_bytes), 'n');
    }
    std::vector<std::string>& notices =
      mServer.mNotices[std::string(mTarget.Path())];
    json::object answer;
    answer["server"] = mServer.mSettings.mAnnounced.mAddress;
    answer["shard"] = aEntry.mShard;
    answer["epoch"] = aEntry.mEpoch;
    answer["tag"] = aEntry.mTag;
    if (aEntry.mMethod == "GET") {
      answer["notices"] = json::value_from(notices);
    } else {
      notices.push_back(aBody.mPrefix);
      answer["bytes"] = aBody.mBytes;
      answer["hash"] = absl::StrCat(absl::Hex(aBody.mHash, absl::kZeroPad16));
      answer["count"] = notices.size();
    }
    return json::serialize(answer);
  }

  bool Respond(http::status aStatus, const std::string& aBody, bool aKeepAlive)
  {
    http::response<http::string_body> answer(aStatus, 11);
    answer.set(http::field::content_type, "application/json");
    answer.keep_alive(aKeepAlive);
    if (mServer.mIsLeaving) {
      answer.set(kHeaderNames.mLeaving, "1");
    }
    if (mServer.mSettings.mRateLimit > 0) {
      answer.set(kHeaderNames.mRateLimit,
                 absl::StrCat(mServer.mSettings.mRateLimit));
    }
    answer.body() = aBody;
    answer.prepare_payload();
    mStream.expires_after(kConnectionIdleTimeout);
    if (const auto bytes = ToNumber(mTarget.Query("break_after")); bytes > 0) {
      RespondInPart(answer, static_cast<std::size_t>(bytes));
      return false;
    }
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, answer, std::move(aHandler));
    });
    return !written.mError && aKeepAlive;
  }

  // Sends the head and the first bytes of the body.
  void RespondInPart(const http::response<http::string_body>& aAnswer,
                     std::size_t aBodyBytes)
  {
    std::ostringstream whole;
    whole << aAnswer;
    const std::string bytes = whole.str();
    const std::size_t sent = bytes.size() - aAnswer.body().size() + aBodyBytes;
    AwaitIo([&](auto aHandler) {
      boost::asio::async_write(
        mStream, boost::asio::buffer(bytes, sent), std::move(aHandler));
    });
  }

  server& mServer;
  tcp_stream mStream;
  http_input mInput;
  http_server_request mTarget;
  instant mLastProgress; // of the current run
};

server::server(boost::asio::io_context& aContext, server_settings aSettings)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mLog(mSettings.mRunLog, mSettings.mAnnounced.mAddress)
  , mAcceptor(aContext)
{
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  mSettings.mAnnounced.mInstance =
    absl::StrCat(mSettings.mAnnounced.mAddress, "-", getpid());
  mSettings.mAnnounced.mStartedAt = since_epoch / std::chrono::milliseconds(1);
  mLog.Write("start", {}, boot_clock::now());
}

absl::Status
server::Listen()
{
  absl::Status bound = BindListener(mAcceptor, mSettings.mAnnounced.mAddress);
  if (bound.ok()) {
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }
  return bound;
}

void
server::AcceptLoop()
{
  for (;;) {
    tcp_socket socket(mContext);
    io_result accepted = AwaitIo([&](auto aHandler) {
      mAcceptor.async_accept(socket, std::move(aHandler));
    });
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kWorkPollInterval);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      connection(*this, std::move(socket)).Serve();
    }).detach();
  }
}

void
server::AnnounceLoop()
{
  const announced_server& announced = mSettings.mAnnounced;
  const std::string body =
    json::serialize(json::object{ { "service", announced.mService },
                                  { "address", announced.mAddress },
                                  { "slots", announced.mSlots },
                                  { "connections", announced.mConnections },
                                  { "checks_fences", announced.mChecksFences },
                                  { "keeps_grants", announced.mKeepsGrants },
                                  { "instance", announced.mInstance },
                                  { "started_at", announced.mStartedAt } });
  boost::this_fiber::sleep_for(
    std::chrono::milliseconds(mSettings.mAnnounceDelayMs));
  for (;;) {
    const auto answer =
      HttpCall(mContext, { mSettings.mAnnounceTo, "POST", "/announce", body });
    if (answer.ok() && answer->mStatus != 200) {
      log_event("announcement_refused", log_level::kError)
        .With("reason", answer->mBody);
    }
    boost::this_fiber::sleep_for(kAnnounceInterval);
  }
}

void
server::WarmUp(const std::string& aShard)
{
  const bool is_cold = !aShard.empty() && mWarmShards.insert(aShard).second;
  if (is_cold && mSettings.mColdStartMs > 0) {
    boost::this_fiber::sleep_for(
      std::chrono::milliseconds(mSettings.mColdStartMs));
  }
}

bool
server::MayRun(const run_entry& aEntry,
               std::string_view aPath,
               instant aRunUntil)
{
  const instant now = boot_clock::now();
  if (now >= aRunUntil) {
    return false;
  }
  if (mSettings.mAnnounced.mKeepsGrants) {
    // The key is the second segment.
    const std::size_t slash = aPath.find('/', 1);
    const bool has_key = slash != std::string_view::npos;
    return has_key && mHeldKeys.Holds(ToNumber(aPath.substr(slash + 1)), now);
  }
  if (!mSettings.mAnnounced.mChecksFences || aEntry.mShard.empty()) {
    return true;
  }
  std::int64_t& highest = mEpochs[aEntry.mShard];
  const std::int64_t epoch = ToNumber(aEntry.mEpoch);
  highest = std::max(highest, epoch);
  return epoch == highest && now < mLeaseUntil;
}

} // namespace plantaindale::stand_ins
