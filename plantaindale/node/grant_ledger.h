// grant_ledger decides which key grants to send to a backend server that
// enforces grants, and tracks until when the server holds which shards.
//
// A grant never outlives the node's lease, so a node that waits for the lease
// to expire has also waited for the server. Adjacent shards share one grant.
// Its fence is the highest epoch of theirs, and no shard is granted under a
// lower one afterwards.
//
//   ledger.SetDesired(shards);
//   while (auto due = ledger.NextDue(now, lease_until)) {
//     ... connect, or ledger.OnNotSent(*due, now)
//     ledger.OnSent(*due, now);
//     ... ledger.OnGranted(*due, now) or ledger.OnFailed(*due, now, false)
//   }
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
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

// One grant call, for the shards from mFirst to mLast.
struct grant_range
{
  int mFirst = 0;
  int mLast = 0;
  std::int64_t mFence = 0;
  std::string mHandover;
  duration mHold{ 0 }; // from the call's arrival, on the server's clock
  // Made of mFence by the sender; see grant_binding.
  std::int64_t mToken = 0;
};

// The server certainly holds the shards from mFirst to mLast until mUntil.
struct held_range
{
  int mFirst = 0;
  int mLast = 0;
  instant mUntil = kNever;

  bool operator==(const held_range&) const = default;
};

// Performs no I/O and reads no clock. Not thread-safe.
class grant_ledger
{
public:
  // `aFormerHoldUntil`: until when the server may hold keys that a former
  // process of the node granted.
  explicit grant_ledger(instant aFormerHoldUntil = kNever)
    : mFormerHoldUntil(aFormerHoldUntil)
  {
  }

  // Replaces the shards that the server should hold; `aShards` is sorted.
  void SetDesired(std::vector<desired_shard> aShards);
  // The shards are about to be released: no more grants for them until
  // SetDesired lists them again.
  void StopGranting(const std::set<int>& aShards);
  // The grant is about to be sent over an open connection.
  void OnSent(const grant_range& aRange, instant aSentAt);
  // No connection could be opened, so that the grant was not sent.
  void OnNotSent(const grant_range& aRange, instant aNow);
  void OnGranted(const grant_range& aRange, instant aSentAt);
  // The call failed. Unless `aWasRefused`, the server may have accepted the
  // grant.
  void OnFailed(const grant_range& aRange, instant aNow, bool aWasRefused);
  void OnReleased(int aFirst, int aLast);
  // The server may have lost its state, so it counts as holding nothing for
  // certain. It may be the same process, which has seen the tokens sent, and
  // may hold what it was granted.
  void ForgetServerState();
  // The numbers of the shards stand for those of another service from now on.
  void ForgetShards();
  // Nothing listens at the server's address: its process has ended and holds
  // nothing.
  void OnServerEnded();

  // The next grant to send, under a lease that ends at `aLeaseUntil`.
  std::optional<grant_range> NextDue(instant aNow, instant aLeaseUntil) const;
  // The desired shards that the server certainly holds.
  std::vector<held_range> Held() const;
  // The latest time until which the server may hold the shard, whatever the
  // results of the calls, and whichever process made them.
  instant MayHoldUntil(int aShard) const;
  // The latest time until which the server may hold any shard, also a forgotten
  // one, by grants of this process.
  instant AnyMayHoldUntil() const { return mAnyMayHoldUntil; }
  // The same by grants of any process of the node.
  instant EveryHoldEndsBy() const
  {
    return std::max(mAnyMayHoldUntil, mFormerHoldUntil);
  }
  // Like MayHoldUntil, but only for grants whose call was not answered. The
  // server may still apply them after a release.
  instant InDoubtUntil(int aShard) const;
  // The highest fence and token sent for the shard; 0: never granted.
  std::int64_t LastFence(int aShard) const;
  std::int64_t LastToken(int aShard) const;

private:
  struct shard_state
  {
    std::int64_t mFence = 0;        // highest sent
    std::int64_t mToken = 0;        // highest sent
    std::int64_t mGrantedFence = 0; // highest accepted
    instant mHeldUntil = kNever;    // certainly held until then
    instant mMayHoldUntil = kNever;
    instant mInDoubtUntil = kNever;
  };

  bool IsDue(const desired_shard& aShard,
             std::int64_t aFence,
             instant aLeaseUntil) const;
  const shard_state& StateOf(int aShard) const;
  shard_state& MutableStateOf(int aShard);
  // The handover for the first grant of the shard; empty once it is granted.
  const std::string& PendingHandover(const desired_shard& aShard) const;

  std::vector<desired_shard> mDesired;
  std::vector<shard_state> mStates; // by shard, as far as any was granted
  instant mNextAttempt = kNever;
  instant mAnyMayHoldUntil = kNever;
  instant mFormerHoldUntil;
};

} // namespace plantaindale
