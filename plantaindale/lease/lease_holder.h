// lease_holder keeps one process's node lease. The lease lasts a TTL from the
// moment at which a round of requests was sent, once a majority of the
// witnesses has vouched in that round.
//
//   lease_holder lease(self, timing);
//   lease.BeginWrite(now, witnesses);   // own record is on its way
//   lease.WriteSucceeded();             // first lease: a TTL from the sending
//   vouch_round round = lease.BeginRound(now);
//   lease.OnVouch(witness, round.mNumber, now);
//   if (lease.Holds(now)) { ... }
//
// A change of witnesses is a conditional write of the node's record. From the
// moment it is sent until a later write of the same record has succeeded, it
// may or may not have taken effect, or may yet; rounds begun meanwhile need a
// majority of every set that may be in force.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/lease/lease_timing.h"

namespace plantaindale {

using witness_set = std::vector<node_identity>;

struct vouch_round
{
  std::int64_t mNumber = 0;
  std::vector<node_identity> mWitnesses; // whom to ask
};

// Pure: no clock, no input or output. Not thread-safe.
class lease_holder
{
public:
  lease_holder(node_identity aSelf, lease_timing aTiming);

  // Commands. A conditional write of the own record that lists `aWitnesses` is
  // sent at `aNow`; one at a time.
  void BeginWrite(instant aNow, witness_set aWitnesses);
  // It took effect. No earlier write of this record can take effect any more.
  void WriteSucceeded();
  // It has not taken effect, and never will.
  void WriteRefused();
  // It may have taken effect, or may yet.
  void WriteUnknown();
  // The record is no longer active for this incarnation; final.
  void Revoke();

  vouch_round BeginRound(instant aNow);
  // `aWitness` vouched in `aRound`. Late and repeated answers are harmless.
  void OnVouch(const node_identity& aWitness,
               std::int64_t aRound,
               instant aNow);

  // Queries.
  const node_identity& Self() const { return mSelf; }
  instant LeaseUntil() const { return mLeaseUntil; }
  bool Holds(instant aNow) const { return aNow < mLeaseUntil; }
  bool IsRevoked() const { return mIsRevoked; }
  const witness_set& Witnesses() const { return mCommitted; }
  bool HasUnresolvedWrite() const { return !mPending.empty(); }
  // The last round in which the witness vouched; 0 when none that is kept.
  std::int64_t LastVouchedRound(const node_identity& aWitness) const;
  // How many rounds in a row, up to now, the witness was asked in vain.
  // Rounds to which an answer may still be on its way don't count.
  int ConsecutiveMissedRounds(const node_identity& aWitness,
                              instant aNow) const;
  // Whether anybody has vouched since the witnesses were last changed.
  bool HasVouchSinceChange() const { return mHasVouchSinceChange; }
  std::int64_t CurrentRound() const { return mNextRound - 1; }

private:
  struct open_round
  {
    std::int64_t mNumber;
    instant mSentAt;
    std::vector<witness_set> mRequired; // a majority of each is needed
    std::vector<node_identity> mVouched;
  };

  bool IsComplete(const open_round& aRound) const;
  void ExtendFrom(instant aSentAt);
  std::vector<witness_set> RequiredWitnessSets() const;

  node_identity mSelf;
  lease_timing mTiming;
  witness_set mCommitted;
  // Sets of writes whose effect isn't known, the newest last.
  std::vector<witness_set> mPending;
  instant mWriteSentAt = kNever;
  std::deque<open_round> mRounds;
  std::int64_t mNextRound = 1;
  instant mLeaseUntil = kNever;
  bool mHasVouchSinceChange = true;
  bool mIsRevoked = false;
};

} // namespace plantaindale
