// witness_ledger is the state of a lease witness: for each holder, the expiry
// of the last vouch and the highest fenced incarnation. The state is kept in
// memory only. A restarted witness is a new incarnation, whose vouches no
// holder counts.
//
//   witness_ledger ledger(self, timing);
//   if (ledger.Vouch(request.holder, request.witness, now).ok()) { ... }
//   if (ledger.RaiseFencingFloor(request.holder, request.witness, now)) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "plantaindale/base/node_identity.h"
#include "plantaindale/lease/lease_timing.h"

namespace plantaindale {

// The state for one holder name.
struct witnessed_holder
{
  std::int64_t mFencedThrough = 0; // highest fenced incarnation
  instant mVouchEnd = kNever;      // expiry of the last vouch, local clock
  std::int64_t mIncarnation = 0;   // highest incarnation vouched for
};

// Reads no clock and does no I/O. Not thread-safe.
class witness_ledger
{
public:
  witness_ledger(node_identity aSelf, lease_timing aTiming);

  // Commands.
  // Vouches for the holder for a TTL plus the drift margin. Returns
  // kFailedPrecondition if `aWitness` is another incarnation of this node, and
  // kPermissionDenied if the holder's incarnation is fenced.
  absl::Status Vouch(const node_identity& aHolder,
                     const node_identity& aWitness,
                     instant aNow);
  // Fences the holder's incarnation and all earlier ones. Returns true if the
  // last vouch for this holder name has expired, so that the fencing floor may
  // be acknowledged. Otherwise the caller has to retry.
  bool RaiseFencingFloor(const node_identity& aHolder,
                         const node_identity& aWitness,
                         instant aNow);
  // Drops the state of `aName` if its incarnations are all retired according to
  // the platform. The caller must reject these incarnations from then on.
  void DropRetired(const std::string& aName, std::int64_t aRetiredThrough);

  // Queries.
  const std::map<std::string, witnessed_holder>& Holders() const
  {
    return mHolders;
  }

private:
  node_identity mSelf;
  lease_timing mTiming;
  std::map<std::string, witnessed_holder> mHolders;
};

} // namespace plantaindale
