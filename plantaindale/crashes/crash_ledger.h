// crash_ledger decides which requests must not run because backend servers have
// ended under them, from the ends and complete runs that this node has seen and
// other nodes have told of. A value without network and clock; crash_suspect
// has the rules for one request.
//
//   crash_ledger ledger;
//   auto changed = ledger.OnServerEnded(end, now);
//   Send(ledger.Records(changed, now));  // the receiver: ledger.Merge(...)
//   if (ledger.Verdicts().IsRefused(fingerprint, now)) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "generated/plantaindale_types.h"
#include "plantaindale/crashes/crash_suspect.h"
#include "plantaindale/crashes/crash_verdicts.h"
#include "plantaindale/crashes/server_end.h"

namespace plantaindale {

class crash_ledger
{
public:
  static constexpr std::size_t kMaxSuspects = 256;
  static constexpr std::size_t kMaxTargetBytes = 80;
  static constexpr std::size_t kMaxNameBytes = 128; // of services, instances

  using suspect_map = std::map<request_fingerprint, crash_suspect>;
  using fingerprint_list = std::vector<request_fingerprint>;

  // Commands. They return the fingerprints whose suspects have changed in a way
  // that other nodes must learn of.
  fingerprint_list OnServerEnded(const server_end& aEnd, instant aNow);
  // The request has run to its end at `aNow`, or the operator says that it may.
  fingerprint_list Clear(const request_fingerprint& aFingerprint, instant aNow);
  // Records that no node of this version could have sent have no effect.
  fingerprint_list Merge(std::span<const protocol::crash_record> aRecords,
                         instant aNow);
  // Lets refusals lapse and forgets old suspects.
  void Step(instant aNow);

  // Queries.
  // The records for other nodes.
  std::vector<protocol::crash_record> Records(instant aNow) const;
  std::vector<protocol::crash_record> Records(
    std::span<const request_fingerprint> aFingerprints,
    instant aNow) const;
  // The same at nodes that know the same, except shortly before they forget it;
  // 0: there are no suspects.
  std::int64_t Hash() const { return mHash; }
  const suspect_map& Suspects() const { return mSuspects; }
  crash_verdicts Verdicts() const { return crash_verdicts(mStandings); }
  const crash_verdicts::standing_map& Standings() const { return mStandings; }
  // Increases whenever the verdicts change.
  std::int64_t Generation() const { return mGeneration; }

private:
  // Returns whether it is news.
  bool MergeRecord(const protocol::crash_record& aRecord, instant aNow);
  // Updates what is derived from the suspects, and forgets those that are too
  // old or too many.
  void Refresh(instant aNow);
  void EvictSurplus(instant aNow);
  // Those of the fingerprints that are still known.
  fingerprint_list Retained(fingerprint_list aFingerprints) const;

  suspect_map mSuspects;
  crash_verdicts::standing_map mStandings;
  std::int64_t mHash = 0;
  std::int64_t mGeneration = 0;
  instant mNextChange = instant::max(); // of what is derived, by time alone
};

} // namespace plantaindale
