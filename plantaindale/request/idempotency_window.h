// idempotency_window records the outcome of each request with an
// Idempotency-Key, so that a repeated request gets the recorded response and is
// not run again.
//
//   if (window.Begin(key, history, now) == idempotency_decision::kRun) {
//     window.Finish(key, outcome);
//   }
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

// Outcome of a request with a key, with the response if it was small.
struct recorded_outcome
{
  request_result mResult;
  protocol::answer_head mHead;
  std::string mBody;
  bool mIsComplete = false; // mHead and mBody hold the whole response
};

enum class idempotency_decision
{
  kRun,          // certainly not used before
  kRunning,      // the first request with the key is still running
  kRecorded,     // the first request has ended; see Find
  kIndeterminate // it may have run under an earlier owner, or was evicted
};

// Creation time of a key, if known, and the time since which this node has been
// the only owner of the shard.
struct key_history
{
  // From a version 7 UUID; absent when the key carries no time.
  std::optional<std::chrono::system_clock::time_point> mCreatedAt;
  std::chrono::system_clock::time_point mOwnedSince;
  // No other node has ever owned this shard.
  bool mIsFirstOwner = false;
};

// Single-threaded.
class idempotency_window
{
public:
  static constexpr std::chrono::minutes kRetention{ 10 };
  static constexpr std::size_t kMaxKeys = 20'000;
  static constexpr std::size_t kMaxRecordedBodyBytes = 16 * 1024;
  // Tolerated difference between the clocks of callers and this node.
  static constexpr std::chrono::seconds kMaxClockSkew{ 2 };

  // Commands. `aNow` is wall-clock time. After kRun the key is running until
  // Finish or Forget.
  idempotency_decision Begin(std::string_view aKey,
                             const key_history& aHistory,
                             std::chrono::system_clock::time_point aNow);
  void Finish(std::string_view aKey, recorded_outcome aOutcome);
  // Removes a key whose request was not run, so that a repeat may run.
  void Forget(std::string_view aKey);

  // Queries. Null unless the key's request has ended.
  const recorded_outcome* Find(std::string_view aKey) const;
  std::size_t Size() const { return mKeys.size(); }

private:
  struct key_entry
  {
    bool mHasEnded = false;
    recorded_outcome mOutcome;
  };
  struct age_entry
  {
    std::string mKey;
    std::chrono::system_clock::time_point mSince;
  };

  void EvictExpired(std::chrono::system_clock::time_point aNow);

  std::unordered_map<std::string, key_entry> mKeys;
  std::deque<age_entry> mByAge;
  // Keys created before this time may have been evicted.
  std::chrono::system_clock::time_point mCompleteSince{};
};

// The creation time in a version 7 UUID; nullopt for any other key.
std::optional<std::chrono::system_clock::time_point>
CreationTimeOfKey(std::string_view aKey);

} // namespace plantaindale
