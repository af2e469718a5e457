// witness_ledger is what a witness remembers: for each holder when its last
// vouch ends, and the floor below which it never vouches again. Nothing of it
// outlives the process; a restarted witness is another incarnation, which no
// holder counts.
//
//   witness_ledger ledger(self, timing);
//   if (ledger.Vouch(request.holder, request.witness, now).ok()) { ... }
//   if (ledger.RaiseFloor(request.holder, request.witness, now)) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "plantaindale/base/node_identity.h"
#include "plantaindale/lease/lease_timing.h"

namespace plantaindale {

// What a witness remembers of one holder's name.
struct witnessed_holder
{
  std::int64_t mFencedThrough = 0; // incarnations up to this one are refused
  instant mVouchEnd = kNever;      // of the last vouch, on this clock
  std::int64_t mIncarnation = 0;   // to which that vouch was given
};

// Pure. Not thread-safe.
class witness_ledger
{
public:
  witness_ledger(node_identity aSelf, lease_timing aTiming);

  // Commands.
  // Vouches for the holder unless this isn't the witness that was asked, or
  // the holder is below its floor; the error says which.
  absl::Status Vouch(const node_identity& aHolder,
                     const node_identity& aWitness,
                     instant aNow);
  // Refuses the holder from now on. True once its last vouch has ended, which
  // is when the floor may be acknowledged; ask again until then.
  bool RaiseFencingFloor(const node_identity& aHolder,
                         const node_identity& aWitness,
                         instant aNow);
  // Drops what is remembered of incarnations that the platform knows to be
  // retired; the caller refuses those by itself from now on.
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
