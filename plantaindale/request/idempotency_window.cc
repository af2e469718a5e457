#include "plantaindale/request/idempotency_window.h"

#include <algorithm>
#include <charconv>

namespace plantaindale {
namespace {

using wall_time = std::chrono::system_clock::time_point;

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionOffset = 14;

bool
IsKnownUnused(const key_history& aHistory,
              wall_time aCompleteSince,
              wall_time aNow)
{
  const wall_time known_since =
    std::max(aCompleteSince,
             aHistory.mIsFirstOwner ? wall_time{} : aHistory.mOwnedSince);
  if (known_since == wall_time{}) {
    return true;
  }
  if (aHistory.mCreatedAt) {
    return *aHistory.mCreatedAt >=
           known_since + idempotency_window::kMaxClockSkew;
  }
  // A key that tells no time is taken to be as old as an outcome is kept.
  return aNow >= known_since + idempotency_window::kRetention;
}

} // namespace

idempotency_decision
idempotency_window::Begin(std::string_view aKey,
                          const key_history& aHistory,
                          wall_time aNow)
{
  EvictExpired(aNow);
  const std::string key(aKey);
  const auto found = mKeys.find(key);
  if (found != mKeys.end()) {
    return found->second.mHasEnded ? idempotency_decision::kRecorded
                                   : idempotency_decision::kRunning;
  }
  if (!IsKnownUnused(aHistory, mCompleteSince, aNow)) {
    return idempotency_decision::kIndeterminate;
  }
  mKeys[key] = {};
  mByAge.push_back({ key, aNow });
  return idempotency_decision::kRun;
}

void
idempotency_window::Finish(std::string_view aKey, recorded_outcome aOutcome)
{
  const auto found = mKeys.find(std::string(aKey));
  if (found == mKeys.end()) {
    return;
  }
  found->second.mHasEnded = true;
  found->second.mOutcome = std::move(aOutcome);
}

void
idempotency_window::Forget(std::string_view aKey)
{
  mKeys.erase(std::string(aKey));
}

const recorded_outcome*
idempotency_window::Find(std::string_view aKey) const
{
  const auto found = mKeys.find(std::string(aKey));
  const bool has_ended = found != mKeys.end() && found->second.mHasEnded;
  return has_ended ? &found->second.mOutcome : nullptr;
}

void
idempotency_window::EvictExpired(wall_time aNow)
{
  while (!mByAge.empty()) {
    const age_entry& oldest = mByAge.front();
    const bool is_expired = oldest.mSince + kRetention < aNow;
    if (!is_expired && mByAge.size() < kMaxKeys) {
      return;
    }
    const auto found = mKeys.find(oldest.mKey);
    if (found != mKeys.end()) {
      mCompleteSince = std::max(mCompleteSince, oldest.mSince);
      mKeys.erase(found);
    }
    mByAge.pop_front();
  }
}

std::optional<wall_time>
CreationTimeOfKey(std::string_view aKey)
{
  if (aKey.size() != kUuidLength || aKey[kUuidVersionOffset] != '7') {
    return std::nullopt;
  }
  const std::string digits =
    std::string(aKey.substr(0, 8)) + std::string(aKey.substr(9, 4));
  std::int64_t milliseconds = 0;
  const auto parsed = std::from_chars(
    digits.data(), digits.data() + digits.size(), milliseconds, 16);
  if (parsed.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace plantaindale
