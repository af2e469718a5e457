#include "plantaindale/crashes/crash_suspect.h"

#include <algorithm>
#include <vector>

#include "plantaindale/base/hash.h"

namespace plantaindale {

bool
crash_suspect::Add(server_start aServer, interrupted aEnd)
{
  aEnd.mIsCleared = aEnd.mIsCleared || aEnd.mEndedAt <= mClearedAt;
  const auto [position, is_new] = mEnds.try_emplace(std::move(aServer), aEnd);
  interrupted& known = position->second;
  const bool is_clearing = aEnd.mIsCleared && !known.mIsCleared;
  known.mIsCleared = known.mIsCleared || aEnd.mIsCleared;
  known.mBeganAt = std::min(known.mBeganAt, aEnd.mBeganAt);
  known.mEndedAt = std::min(known.mEndedAt, aEnd.mEndedAt);
  if (mEnds.size() > kMaxEnds) {
    const bool is_kept = position != mEnds.begin();
    mEnds.erase(mEnds.begin());
    return is_kept;
  }
  return is_new || is_clearing;
}

bool
crash_suspect::Clear(instant aNow)
{
  mClearedAt = aNow;
  bool is_news = false;
  for (auto& [server, end] : mEnds) {
    const bool is_clearing = !end.mIsCleared && end.mEndedAt <= aNow;
    end.mIsCleared = end.mIsCleared || is_clearing;
    is_news = is_news || is_clearing;
  }
  return is_news;
}

int
crash_suspect::CountedEnds() const
{
  return LongestChain(chain_members::kNotCleared).mCount;
}

instant
crash_suspect::RefusedUntil() const
{
  return LongestChain(chain_members::kNotCleared).RefusedUntil();
}

instant
crash_suspect::LastEnd() const
{
  instant last = kNever;
  for (const auto& [server, end] : mEnds) {
    last = std::max(last, end.mEndedAt);
  }
  return last;
}

instant
crash_suspect::RetainedUntil() const
{
  const instant refused_until =
    LongestChain(chain_members::kAll).RefusedUntil();
  return refused_until == kNever ? LastEnd() + kSuspicionTime
                                 : refused_until + kProbationTime;
}

std::uint64_t
crash_suspect::Hash() const
{
  std::uint64_t hash = 0;
  for (const auto& [server, end] : mEnds) {
    const auto started_at = static_cast<std::uint64_t>(server.mStartedAt);
    const std::uint64_t state = end.mIsCleared ? 1 : 0;
    hash = CombineHashes(hash, StableHash(server.mInstance, started_at));
    hash = CombineHashes(hash, state);
  }
  return hash;
}

crash_suspect::chain
crash_suspect::LongestChain(chain_members aMembers) const
{
  std::vector<interrupted> ends;
  for (const auto& [server, end] : mEnds) {
    if (aMembers == chain_members::kAll || !end.mIsCleared) {
      ends.push_back(end);
    }
  }
  std::sort(ends.begin(), ends.end(), [](const auto& aA, const auto& aB) {
    return aA.mEndedAt < aB.mEndedAt;
  });
  chain longest;
  for (const interrupted& end : ends) {
    const bool is_after_previous =
      longest.mCount == 0 || end.mBeganAt > longest.mLastEnd + kTimeError;
    if (is_after_previous) {
      ++longest.mCount;
      longest.mLastEnd = end.mEndedAt;
    }
  }
  return longest;
}

instant
crash_suspect::chain::RefusedUntil() const
{
  if (mCount < kEndsToRefuse) {
    return kNever;
  }
  duration time = kRefusalTime;
  for (int end = kEndsToRefuse; end < mCount; ++end) {
    time = std::min(2 * time, kMaxRefusalTime);
  }
  return mLastEnd + time;
}

} // namespace plantaindale
