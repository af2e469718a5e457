// lease_holder tracks the node lease of one process. A round of vouch requests
// extends the lease once a majority of the witnesses has vouched in it. The
// lease lasts a TTL, less the drift margin, from the time at which the round
// was sent.
//
//   lease_holder lease(self, timing);
//   lease.BeginWrite(now, witnesses);  // the node record write is sent
//   lease.WriteSucceeded();            // first lease, from the send time
//   vouch_round round = lease.BeginRound(now);
//   lease.OnVouch(witness, round.mNumber, now);
//   if (lease.Holds(now)) { ... }
//
// Witnesses are changed by a conditional write of the node record. While the
// outcome of a write is unknown, and no later write of the record has
// succeeded, the write may have taken effect or may still do so. Rounds started
// in that time need a majority of every witness set that may be in force.
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
  std::vector<node_identity> mWitnesses; // to send requests to
};

// Reads no clock and does no I/O. Not thread-safe.
class lease_holder
{
public:
  lease_holder(node_identity aSelf, lease_timing aTiming);

  // Commands.
  // Records that a conditional write of the local node record with
  // `aWitnesses` is sent at `aNow`. At most one write may be in flight; it ends
  // with WriteSucceeded(), WriteRefused() or WriteUnknown().
  void BeginWrite(instant aNow, witness_set aWitnesses);
  // The write took effect. No earlier write of the record can take effect now.
  void WriteSucceeded();
  // The write was rejected and will never take effect.
  void WriteRefused();
  // The write may have taken effect, or may still do so.
  void WriteUnknown();
  // Ends the lease for good: the record is no longer active for this
  // incarnation.
  void Revoke();

  // Starts a round of vouch requests that are sent at `aNow`.
  vouch_round BeginRound(instant aNow);
  // Records that `aWitness` vouched in `aRound`. Late and duplicate replies are
  // harmless.
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
  // The latest stored round in which the witness vouched; 0 if there is none.
  std::int64_t LastVouchedRound(const node_identity& aWitness) const;
  // Number of most recent consecutive rounds in which the witness was asked but
  // didn't vouch. Rounds whose replies may still be in flight at `aNow` don't
  // count.
  int ConsecutiveMissedRounds(const node_identity& aWitness,
                              instant aNow) const;
  // Whether any witness has vouched since the witness set last changed.
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
  // Witness sets of writes in flight or with an unknown outcome, newest last.
  std::vector<witness_set> mPending;
  instant mWriteSentAt = kNever;
  std::deque<open_round> mRounds;
  std::int64_t mNextRound = 1;
  instant mLeaseUntil = kNever;
  bool mHasVouchSinceChange = true;
  bool mIsRevoked = false;
};

} // namespace plantaindale
