#include "plantaindale/request/crash_guard.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/request/crash_refusal.h"
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

// Longest wait of a broken run for the proof that its server has ended.
constexpr duration kMaxProofTime = std::chrono::milliseconds(100);
// A process that ends may close its connections before its listener.
constexpr std::chrono::milliseconds kSecondLook{ 10 };
constexpr duration kCompletionInterval = std::chrono::milliseconds(200);
constexpr unsigned kFirstFailureStatus = 500;

} // namespace

crash_guard::crash_guard(boost::asio::io_context& aContext,
                         const routing_state& aRoutingState,
                         std::function<void()> aOnNoServer,
                         crash_callbacks aCallbacks)
  : mContext(aContext)
  , mRoutingState(aRoutingState)
  , mOnNoServer(std::move(aOnNoServer))
  , mCallbacks(std::move(aCallbacks))
  , mWatch([this](server_end aEnd) {
    if (mCallbacks.mOnServerEnd) {
      mCallbacks.mOnServerEnd(std::move(aEnd));
    }
  })
{
}

void
crash_guard::SetServer(const announced_server& aServer)
{
  mAddress = aServer.mAddress;
  mWatch.SetServer(aServer, boot_clock::now());
  mProbed.notify_all();
}

request_result
crash_guard::Run(const protocol::request_head& aHead,
                 const cancellation& aCancellation,
                 const run_function& aRun)
{
  server_end_watch::run_id run = 0;
  request_result result = aRun([&]() -> std::optional<request_result> {
    auto refusal = CrashRefusal(mRoutingState, aHead);
    if (!refusal) {
      run = mWatch.Begin(aHead, boot_clock::now());
    }
    return refusal;
  });
  if (result.mStep == kNoServerStep) {
    OnRefused();
  }
  // A server may answer with a failure before it does any of the work.
  if (result.IsAnswered() && result.mStatus < kFirstFailureStatus) {
    OnCompleted(aHead);
  }
  if (!result.mHasLostServer || aCancellation.IsCancelled()) {
    mWatch.Finish(run);
    return result;
  }
  mWatch.Break(run, boot_clock::now());
  AwaitProof(run);
  if (mWatch.StateOf(run) == server_end_watch::run_state::kServerEnded) {
    result.mStep = kServerEndedStep;
    result.mReason = absl::StrCat("the backend server ended: ", result.mReason);
  }
  return result;
}

void
crash_guard::AwaitProof(server_end_watch::run_id aRun)
{
  const instant until = boot_clock::now() + kMaxProofTime;
  const auto is_open = [&] {
    return mWatch.StateOf(aRun) == server_end_watch::run_state::kBroken;
  };
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  mProbed.wait_for(
    lock, kMaxProofTime, [&] { return !mIsProbing || !is_open(); });
  if (mIsProbing || !is_open()) {
    return;
  }
  mIsProbing = true;
  lock.unlock();
  Probe(until);
  lock.lock();
  mIsProbing = false;
  mProbed.notify_all();
}

void
crash_guard::Probe(instant aUntil)
{
  namespace error = boost::asio::error;
  boost::system::error_code connected = Connect(aUntil);
  instant began = kNever;
  if (!connected) {
    boost::this_fiber::sleep_for(kSecondLook);
    began = boot_clock::now();
    connected = Connect(aUntil);
  }
  if (connected == error::connection_refused) {
    OnRefused();
  } else if (!connected) {
    mWatch.OnAccepted(began);
  }
}

// Closes the connection at once if it is accepted.
boost::system::error_code
crash_guard::Connect(instant aUntil)
{
  const auto endpoint = ParseEndpoint(mAddress);
  if (!endpoint.ok()) {
    return boost::asio::error::invalid_argument;
  }
  tcp_stream stream(mContext);
  ExpireAt(stream, aUntil);
  return AwaitIo([&](auto aHandler) {
           stream.async_connect(*endpoint, std::move(aHandler));
         })
    .mError;
}

void
crash_guard::OnRefused()
{
  mWatch.OnRefused(boot_clock::now());
  if (mOnNoServer) {
    mOnNoServer();
  }
}

void
crash_guard::OnCompleted(const protocol::request_head& aHead)
{
  const auto fingerprint = FingerprintFromBytes(aHead.fingerprint);
  const auto verdicts = mRoutingState.CrashVerdicts();
  const auto* standing = fingerprint ? verdicts->Find(*fingerprint) : nullptr;
  const bool is_suspect = standing != nullptr && standing->mEnds > 0;
  if (!is_suspect || !mCallbacks.mOnSuspectCompleted) {
    return;
  }
  const instant now = boot_clock::now();
  std::erase_if(mReportedAt, [now](const auto& aEntry) {
    return now >= aEntry.second + kCompletionInterval;
  });
  if (mReportedAt.emplace(*fingerprint, now).second) {
    mCallbacks.mOnSuspectCompleted(*fingerprint);
  }
}

} // namespace plantaindale
