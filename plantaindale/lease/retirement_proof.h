// retirement_proof collects the evidence that a fenced node can never act
// again. It is complete once a majority of the node's witnesses has
// acknowledged the fencing floor, and a TTL plus the drift margin has passed
// since the fencing coordinator observed the record revision that it fenced.
//
//   retirement_proof proof(fenced_node, witnesses, unchanged_since, timing);
//   for (const auto& witness : proof.UnacknowledgedWitnesses()) { ... }
//   proof.OnFencingFloorAcknowledged(witness);
//   if (proof.IsComplete(now)) { ... write retired_through ... }
#pragma once

#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/lease/lease_timing.h"

namespace plantaindale {

// Reads no clock and does no I/O. Not thread-safe.
class retirement_proof
{
public:
  // `aRecordUnchangedSince`: when the fencing coordinator observed the revision
  // on which the fence was based, or the fence itself. Every earlier change of
  // the witness set was sent before that time, and so was every vouch by the
  // witnesses that it removed.
  retirement_proof(node_identity aFencedNode,
                   std::vector<node_identity> aWitnesses,
                   instant aRecordUnchangedSince,
                   lease_timing aTiming);

  // Commands.
  void OnFencingFloorAcknowledged(const node_identity& aWitness);
  // Records that the witness itself was retired, as observed at `aObservedAt`.
  // It stops vouching one grace period after its own lease expired, so its last
  // vouch expires a TTL later. `aHasStopped`: it left by itself, or an operator
  // confirmed its loss; the grace period is then skipped.
  void OnWitnessRetired(const node_identity& aWitness,
                        instant aObservedAt,
                        bool aHasStopped);

  // Queries.
  const node_identity& FencedNode() const { return mFencedNode; }
  std::vector<node_identity> UnacknowledgedWitnesses() const;
  bool IsComplete(instant aNow) const;

private:
  struct witness_state
  {
    node_identity mWitness;
    bool mAcknowledged = false;
    // From then on it counts as acknowledged: all its vouches have expired.
    instant mVouchesEndAt = instant::max();
  };

  witness_state* FindWitness(const node_identity& aWitness);

  node_identity mFencedNode;
  std::vector<witness_state> mWitnesses;
  instant mRecordUnchangedSince;
  lease_timing mTiming;
};

} // namespace plantaindale
