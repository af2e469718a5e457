// idempotency_window remembers for each Idempotency-Key how its request ended,
// so that a caller's repeat is answered from memory and never run again.
//
//   switch (window.Begin(key, age, now)) { case window_answer::kRun: ... }
//   window.Finish(key, recorded, now);
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

// How a request with a key ended, with its answer when that was small.
struct recorded_outcome
{
  request_result mResult;
  protocol::answer_head mHead;
  std::string mBody;
  bool mIsComplete = false; // head and body are the whole answer
};

enum class idempotency_decision
{
  kRun,          // never seen, and this owner can vouch for that
  kRunning,      // its first request still runs
  kRecorded,     // it has ended; see Find
  kIndeterminate // it may have run under an earlier owner
};

// When a key was made, as far as it tells, and how long this owner has been
// the only one to run the shard's requests.
struct key_history
{
  // From a version 7 UUID; absent when the key tells no time.
  std::optional<std::chrono::system_clock::time_point> mCreatedAt;
  std::chrono::system_clock::time_point mOwnedSince;
  // No other owner has ever run requests of this shard.
  bool mIsFirstOwner = false;
};

// Belongs to one thread.
class idempotency_window
{
public:
  // How long an outcome is remembered, how many, and how large an answer.
  static constexpr std::chrono::minutes kRetention{ 10 };
  static constexpr std::size_t kMaxKeys = 20'000;
  static constexpr std::size_t kMaxRecordedBodyBytes = 16 * 1024; // bytes
  // How far callers' clocks may be off.
  static constexpr std::chrono::seconds kMaxClockSkew{ 2 };

  // Commands. `aNow` is the wall clock's. On kRun the key counts as running
  // until Finish or Forget.
  idempotency_decision Begin(std::string_view aKey,
                             const key_history& aHistory,
                             std::chrono::system_clock::time_point aNow);
  void Finish(std::string_view aKey, recorded_outcome aOutcome);
  // The request was not run: a repeat may be.
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
  // Keys made before this may have been dropped already.
  std::chrono::system_clock::time_point mCompleteSince{};
};

// The time in a version 7 UUID; none for any other text.
std::optional<std::chrono::system_clock::time_point>
CreationTimeOfKey(std::string_view aKey);

} // namespace plantaindale
