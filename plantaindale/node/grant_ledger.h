// grant_ledger decides which grants to send to a backend server that keeps its
// own, and knows until when the server holds which keys.
//
// A grant never outlasts the node's lease, so that whoever waits for the lease
// has waited for the server too. Neighbouring shards share one grant; its
// fencing token is the highest of theirs, and stays that high for each of
// them.
//
//   ledger.SetWanted(shards);
//   while (auto due = ledger.NextDue(now, lease_until)) {
//     ledger.OnSent(*due, now);
//     ... ledger.OnGranted(*due, now) or ledger.OnFailed(*due, now, false)
//   }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// A shard that the server should hold.
struct desired_shard
{
  int mShard = 0;
  std::int64_t mEpoch = 0;
  std::string mHandover;
};

// One call: a run of neighbouring shards.
struct grant_range
{
  int mFirst = 0;
  int mLast = 0;
  std::int64_t mFence = 0;
  std::string mHandover;
  duration mHold{ 0 }; // from the call's arrival, by the server's clock
};

// Shards that the server holds for certain until an instant.
struct held_range
{
  int mFirst = 0;
  int mLast = 0;
  instant mUntil = kNever;

  bool operator==(const held_range&) const = default;
};

// Pure. Not thread-safe.
class grant_ledger
{
public:
  // Commands.
  // Replaces what the server should hold; sorted by shard.
  void SetDesired(std::vector<desired_shard> aShards);
  // The shard is to be released: it gets no more grants until it is wanted
  // again.
  void StopGranting(int aShard);
  void OnSent(const grant_range& aRange, instant aSentAt);
  void OnGranted(const grant_range& aRange, instant aSentAt);
  // No answer came, or a refusal: the server may have taken the grant unless
  // `aWasRefused`.
  void OnFailed(const grant_range& aRange, instant aNow, bool aWasRefused);
  void OnReleased(int aFirst, int aLast);
  // The server has started anew and holds nothing.
  void ForgetServerState();

  // Queries.
  // The next grant that is worth sending, under a lease that ends then.
  std::optional<grant_range> NextDue(instant aNow, instant aLeaseUntil) const;
  // What the server holds for certain, from the shards that it should hold.
  std::vector<held_range> Held() const;
  // The server may hold the shard until then, whatever became of the calls.
  instant MayHoldUntil(int aShard) const;
  // The latest of all shards.
  instant AnyMayHoldUntil() const;
  // The same for grants without an answer alone: they may be applied after a
  // release.
  instant InDoubtUntil(int aShard) const;
  // The token under which the shard was last granted; 0: never.
  std::int64_t LastFence(int aShard) const;

private:
  struct shard_state
  {
    std::int64_t mFence = 0;        // the highest sent
    std::int64_t mGrantedFence = 0; // the highest taken
    instant mHeldUntil = kNever;    // for certain
    instant mMayHoldUntil = kNever;
    instant mInDoubtUntil = kNever;
  };

  bool IsDue(const desired_shard& aShard,
             std::int64_t aFence,
             instant aLeaseUntil) const;
  const shard_state& StateOf(int aShard) const;
  // The handover that a first grant still has to bring.
  const std::string& PendingHandover(const desired_shard& aShard) const;

  std::vector<desired_shard> mDesired;
  std::map<int, shard_state> mStates;
  instant mNextAttempt = kNever;
};

} // namespace plantaindale
