#include "plantaindale/request/server_end_watch.h"

#include <algorithm>
#include <utility>

namespace plantaindale {

server_end_watch::server_end_watch(on_end aOnEnd)
  : mOnEnd(std::move(aOnEnd))
{
}

void
server_end_watch::SetServer(const announced_server& aServer, instant aNow)
{
  const bool is_same = mServer.IsSameStart(aServer);
  mServer = aServer;
  if (!is_same) {
    ReportEnd(aNow, [this](const run& aRun) { return IsReplaced(aRun); });
    return;
  }
  for (auto& [id, entry] : mRuns) {
    if (entry.mServer.IsSameStart(aServer)) {
      entry.mServer.mIsLeaving = aServer.mIsLeaving;
    }
  }
}

server_end_watch::run_id
server_end_watch::Begin(const protocol::request_head& aHead, instant aNow)
{
  Forget(aNow);
  if (mRuns.size() >= kMaxRuns) {
    return 0;
  }
  run begun;
  begun.mServer = mServer;
  begun.mFingerprint = FingerprintFromBytes(aHead.fingerprint);
  begun.mRun = { begun.mFingerprint.value_or(request_fingerprint()),
                 aHead.target,
                 aHead.attempt_id,
                 aNow };
  mRuns.emplace(mNextRun, std::move(begun));
  return mNextRun++;
}

void
server_end_watch::Break(run_id aRun, instant aNow)
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return;
  }
  run& broken = found->second;
  broken.mBrokeAt = aNow;
  if (broken.mState != run_state::kRunning) {
    return;
  }
  broken.mState = run_state::kBroken;
  if (IsReplaced(broken)) {
    ReportEnd(aNow, [this](const run& aOther) { return IsReplaced(aOther); });
  }
}

void
server_end_watch::OnRefused(instant aNow)
{
  ReportEnd(aNow, [this](const run& aRun) {
    return aRun.mState != run_state::kServerLives &&
           aRun.mServer.IsSameStart(mServer);
  });
}

void
server_end_watch::OnAccepted(instant aBeganAt)
{
  for (auto& [id, entry] : mRuns) {
    const bool has_survived =
      entry.mState == run_state::kBroken && entry.mBrokeAt <= aBeganAt;
    if (has_survived) {
      entry.mState = run_state::kServerLives;
    }
  }
}

server_end_watch::run_state
server_end_watch::StateOf(run_id aRun) const
{
  const auto found = mRuns.find(aRun);
  return found == mRuns.end() ? run_state::kUnwatched : found->second.mState;
}

// Forgets the runs whose connections broke before the window.
void
server_end_watch::Forget(instant aNow)
{
  std::erase_if(mRuns, [aNow](const auto& aEntry) {
    const instant broke_at = aEntry.second.mBrokeAt;
    return broke_at != kNever && aNow > broke_at + kBreakWindow;
  });
}

bool
server_end_watch::IsReplaced(const run& aRun) const
{
  return aRun.mServer.mAddress == mServer.mAddress &&
         !aRun.mServer.IsSameStart(mServer);
}

// Reports the end of the server of the runs that `aIsSuspect` accepts, unless
// no connection broke or all were reported before. A server that leaves ends
// because it was told to, whatever it still runs.
template<class condition_type>
void
server_end_watch::ReportEnd(instant aNow, const condition_type& aIsSuspect)
{
  Forget(aNow);
  const auto is_new = [&](const run& aRun) {
    return aRun.mState != run_state::kServerEnded && !aRun.mServer.mIsLeaving &&
           aIsSuspect(aRun);
  };
  const bool has_broken =
    std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aEntry) {
      return aEntry.second.mBrokeAt != kNever && is_new(aEntry.second);
    });
  if (!has_broken) {
    return;
  }
  server_end end;
  end.mEndedAt = aNow;
  for (auto& [id, entry] : mRuns) {
    if (!is_new(entry)) {
      continue;
    }
    entry.mState = run_state::kServerEnded;
    end.mService = entry.mServer.mService;
    end.mInstance = entry.mServer.mInstance;
    end.mStartedAt = entry.mServer.mStartedAt;
    if (entry.mBrokeAt != kNever) {
      end.mEndedAt = std::min(end.mEndedAt, entry.mBrokeAt);
    }
    if (entry.mFingerprint) {
      end.mRuns.push_back(entry.mRun);
    }
  }
  if (!end.mRuns.empty()) {
    mOnEnd(std::move(end));
  }
}

} // namespace plantaindale
