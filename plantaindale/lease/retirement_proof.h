// retirement is a taker's proof that a fenced node can never act again. It is
// complete once a majority of the node's witnesses has acknowledged the floor,
// and a TTL has passed since the taker learnt the record that it fenced.
//
//   retirement proof(fenced_record, known_unchanged_since, timing);
//   for (const node_identity& witness : proof.ToAsk()) { ... }
//   proof.OnFloorAcknowledged(witness);
//   if (proof.IsComplete(now)) { ... write retired_through ... }
#pragma once

#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/lease/lease_timing.h"

namespace plantaindale {

// Pure. Not thread-safe.
class retirement_proof
{
public:
  // `aUnchangedSince`: when the taker learnt the revision on which the fence
  // was based, or the fence itself. Every change of witnesses before it was
  // sent before it, and so was every vouch of the witnesses then left.
  retirement_proof(node_identity aFencedNode,
                   std::vector<node_identity> aWitnesses,
                   instant aRecordUnchangedSince,
                   lease_timing aTiming);

  // Commands.
  void OnFencingFloorAcknowledged(const node_identity& aWitness);
  // The witness was retired itself, learnt at `aLearntAt`. It stops vouching
  // a grace after its own lapse, so its last vouch ends a TTL after that. When
  // it left by itself, or an operator confirmed its loss, no grace is waited.
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
    // When it counts as acknowledged without being asked.
    instant mVouchesEndAt = instant::max();
  };

  witness_state* FindWitness(const node_identity& aWitness);

  node_identity mFencedNode;
  std::vector<witness_state> mWitnesses;
  instant mRecordUnchangedSince;
  lease_timing mTiming;
};

} // namespace plantaindale
