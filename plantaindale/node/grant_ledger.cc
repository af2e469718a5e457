#include "plantaindale/node/grant_ledger.h"

#include <algorithm>

#include "plantaindale/shards/shard_page.h"

namespace plantaindale {
namespace {

// Largest relative drift of a backend server's clock; 2% is the bound that the
// platform guarantees.
constexpr double kMaxClockDrift = 0.02;
// Upper bound on the delivery time of a call to a server on the same machine.
constexpr duration kMaxDeliveryTime = std::chrono::milliseconds(10);
// A renewal is sent only if it extends the hold by at least this much. The
// lease itself is extended every 300 ms.
constexpr duration kMinExtension = std::chrono::milliseconds(250);
// A shorter hold would expire before the server can use it.
constexpr duration kMinHold = std::chrono::milliseconds(50);
constexpr duration kRetryPause = std::chrono::milliseconds(100);

duration
Scaled(duration aTime, double aFactor)
{
  return duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

void
grant_ledger::SetDesired(std::vector<desired_shard> aShards)
{
  mDesired = std::move(aShards);
}

void
grant_ledger::StopGranting(const std::set<int>& aShards)
{
  std::erase_if(mDesired, [&](const desired_shard& aDesired) {
    return aShards.contains(aDesired.mShard);
  });
}

const grant_ledger::shard_state&
grant_ledger::StateOf(int aShard) const
{
  static const shard_state sNone;
  const auto index = static_cast<std::size_t>(aShard);
  return index < mStates.size() ? mStates[index] : sNone;
}

grant_ledger::shard_state&
grant_ledger::MutableStateOf(int aShard)
{
  const auto index = static_cast<std::size_t>(aShard);
  if (index >= mStates.size()) {
    mStates.resize(index + 1);
  }
  return mStates[index];
}

const std::string&
grant_ledger::PendingHandover(const desired_shard& aShard) const
{
  static const std::string sNone;
  const bool is_first = StateOf(aShard.mShard).mGrantedFence < aShard.mEpoch;
  return is_first ? aShard.mHandover : sNone;
}

bool
grant_ledger::IsDue(const desired_shard& aShard,
                    std::int64_t aFence,
                    instant aLeaseUntil) const
{
  const shard_state& state = StateOf(aShard.mShard);
  return state.mGrantedFence < aFence ||
         state.mHeldUntil + kMinExtension <= aLeaseUntil;
}

std::optional<grant_range>
grant_ledger::NextDue(instant aNow, instant aLeaseUntil) const
{
  if (aNow < mNextAttempt || aLeaseUntil <= aNow) {
    return std::nullopt;
  }
  const duration left = aLeaseUntil - aNow - kMaxDeliveryTime;
  const duration hold = Scaled(left, 1 - kMaxClockDrift);
  if (hold < kMinHold) {
    return std::nullopt;
  }
  for (std::size_t begin = 0; begin < mDesired.size();) {
    const std::string& handover = PendingHandover(mDesired[begin]);
    std::int64_t fence = 0;
    std::size_t end = begin;
    while (end < mDesired.size() &&
           mDesired[end].mShard ==
             mDesired[begin].mShard + static_cast<int>(end - begin) &&
           (end == begin || !IsFirstShardOfPage(mDesired[end].mShard)) &&
           PendingHandover(mDesired[end]) == handover) {
      fence = std::max(
        { fence, mDesired[end].mEpoch, StateOf(mDesired[end].mShard).mFence });
      ++end;
    }
    const bool is_due = std::any_of(
      mDesired.begin() + static_cast<std::ptrdiff_t>(begin),
      mDesired.begin() + static_cast<std::ptrdiff_t>(end),
      [&](const auto& aShard) { return IsDue(aShard, fence, aLeaseUntil); });
    if (is_due) {
      return grant_range{
        mDesired[begin].mShard, mDesired[end - 1].mShard, fence, handover, hold
      };
    }
    begin = end;
  }
  return std::nullopt;
}

void
grant_ledger::OnSent(const grant_range& aRange, instant aSentAt)
{
  const instant latest =
    aSentAt + kMaxDeliveryTime + Scaled(aRange.mHold, 1 + kMaxClockDrift);
  for (int shard = aRange.mFirst; shard <= aRange.mLast; ++shard) {
    shard_state& state = MutableStateOf(shard);
    state.mFence = std::max(state.mFence, aRange.mFence);
    state.mToken = std::max(state.mToken, aRange.mToken);
    state.mMayHoldUntil = std::max(state.mMayHoldUntil, latest);
  }
  mAnyMayHoldUntil = std::max(mAnyMayHoldUntil, latest);
}

void
grant_ledger::OnNotSent(const grant_range& aRange, instant aNow)
{
  mNextAttempt = aNow + kRetryPause;
  for (int shard = aRange.mFirst; shard <= aRange.mLast; ++shard) {
    MutableStateOf(shard).mHeldUntil = kNever;
  }
}

void
grant_ledger::OnGranted(const grant_range& aRange, instant aSentAt)
{
  for (int shard = aRange.mFirst; shard <= aRange.mLast; ++shard) {
    shard_state& state = MutableStateOf(shard);
    state.mGrantedFence = std::max(state.mGrantedFence, aRange.mFence);
    state.mHeldUntil = std::max(state.mHeldUntil, aSentAt + aRange.mHold);
  }
}

void
grant_ledger::OnFailed(const grant_range& aRange,
                       instant aNow,
                       bool aWasRefused)
{
  mNextAttempt = aNow + kRetryPause;
  for (int shard = aRange.mFirst; shard <= aRange.mLast; ++shard) {
    shard_state& state = MutableStateOf(shard);
    if (aWasRefused) {
      state.mHeldUntil = kNever;
    } else {
      state.mInDoubtUntil = state.mMayHoldUntil;
    }
  }
}

void
grant_ledger::OnReleased(int aFirst, int aLast)
{
  for (int shard = aFirst; shard <= aLast; ++shard) {
    shard_state& state = MutableStateOf(shard);
    state.mHeldUntil = kNever;
    state.mGrantedFence = 0;
  }
}

void
grant_ledger::ForgetServerState()
{
  for (shard_state& state : mStates) {
    state.mGrantedFence = 0;
    state.mHeldUntil = kNever;
  }
  mNextAttempt = kNever;
}

void
grant_ledger::ForgetShards()
{
  mStates.clear(); // mAnyMayHoldUntil still counts them
}

void
grant_ledger::OnServerEnded()
{
  mAnyMayHoldUntil = kNever;
  mFormerHoldUntil = kNever;
  for (shard_state& state : mStates) {
    state.mGrantedFence = 0;
    state.mHeldUntil = kNever;
    state.mMayHoldUntil = kNever;
    state.mInDoubtUntil = kNever;
  }
}

std::vector<held_range>
grant_ledger::Held() const
{
  std::vector<held_range> ranges;
  for (const desired_shard& desired : mDesired) {
    const shard_state& state = StateOf(desired.mShard);
    if (state.mGrantedFence < desired.mEpoch || state.mHeldUntil == kNever) {
      continue;
    }
    const bool continues = !ranges.empty() &&
                           ranges.back().mLast + 1 == desired.mShard &&
                           ranges.back().mUntil == state.mHeldUntil;
    if (continues) {
      ranges.back().mLast = desired.mShard;
    } else {
      ranges.push_back({ desired.mShard, desired.mShard, state.mHeldUntil });
    }
  }
  return ranges;
}

instant
grant_ledger::MayHoldUntil(int aShard) const
{
  return std::max(StateOf(aShard).mMayHoldUntil, mFormerHoldUntil);
}

instant
grant_ledger::InDoubtUntil(int aShard) const
{
  return StateOf(aShard).mInDoubtUntil;
}

std::int64_t
grant_ledger::LastFence(int aShard) const
{
  return StateOf(aShard).mFence;
}

std::int64_t
grant_ledger::LastToken(int aShard) const
{
  return StateOf(aShard).mToken;
}

} // namespace plantaindale
