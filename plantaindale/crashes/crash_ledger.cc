#include "plantaindale/crashes/crash_ledger.h"

#include <algorithm>
#include <tuple>

#include "plantaindale/base/hash.h"

namespace plantaindale {
namespace {

// Nodes forget a suspect at slightly different times. In its last moments it is
// neither compared with other nodes nor learned from them, so that it can't
// come back.
constexpr duration kForgettingMargin = std::chrono::seconds(10);
// The others are for requests that are not refused yet.
constexpr std::size_t kMaxRefusedWhenFull = 192;
// The highest age of an end that is still remembered.
constexpr duration kMaxAge =
  crash_suspect::kMaxRefusalTime + crash_suspect::kProbationTime;

std::string
Shortened(const std::string& aTarget)
{
  return aTarget.substr(0, crash_ledger::kMaxTargetBytes);
}

bool
IsPlausible(const protocol::ended_run& aRun)
{
  const auto is_age = [](std::int64_t aMicros) {
    return aMicros >= 0 && aMicros <= kMaxAge.count();
  };
  return is_age(aRun.ended_us) && is_age(aRun.run_began_us) &&
         aRun.run_began_us >= aRun.ended_us && !aRun.instance.empty() &&
         aRun.instance.size() <= crash_ledger::kMaxNameBytes;
}

bool
IsPlausible(const protocol::crash_record& aRecord)
{
  return !aRecord.ends.empty() &&
         aRecord.ends.size() <= crash_suspect::kMaxEnds &&
         aRecord.service_name.size() <= crash_ledger::kMaxNameBytes &&
         aRecord.target.size() <= crash_ledger::kMaxTargetBytes &&
         std::all_of(
           aRecord.ends.begin(),
           aRecord.ends.end(),
           [](const protocol::ended_run& aRun) { return IsPlausible(aRun); });
}

protocol::crash_record
MakeRecord(const request_fingerprint& aFingerprint,
           const crash_suspect& aSuspect,
           instant aNow)
{
  protocol::crash_record record;
  record.fingerprint = ToBytes(aFingerprint);
  record.service_name = aSuspect.Service();
  record.target = aSuspect.Target();
  for (const auto& [server, end] : aSuspect.Ends()) {
    protocol::ended_run run;
    run.instance = server.mInstance;
    run.started_at = server.mStartedAt;
    run.run_began_us = (aNow - end.mBeganAt).count();
    run.ended_us = (aNow - end.mEndedAt).count();
    run.cleared = end.mIsCleared;
    record.ends.push_back(std::move(run));
  }
  return record;
}

} // namespace

crash_ledger::fingerprint_list
crash_ledger::OnServerEnded(const server_end& aEnd, instant aNow)
{
  Step(aNow);
  const instant ended_at = std::min(aEnd.mEndedAt, aNow);
  fingerprint_list changed;
  for (const interrupted_run& run : aEnd.mRuns) {
    const instant began_at = std::min(run.mBeganAt, ended_at);
    if (began_at < aNow - kMaxAge) {
      continue; // includes kNever
    }
    const auto [position, is_new] = mSuspects.try_emplace(
      run.mFingerprint, aEnd.mService, Shortened(run.mTarget));
    if (position->second.Add({ aEnd.mStartedAt, aEnd.mInstance },
                             { began_at, ended_at })) {
      changed.push_back(run.mFingerprint);
    }
  }
  Refresh(aNow);
  return Retained(std::move(changed));
}

crash_ledger::fingerprint_list
crash_ledger::Clear(const request_fingerprint& aFingerprint, instant aNow)
{
  Step(aNow);
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() || !found->second.Clear(aNow)) {
    return {};
  }
  Refresh(aNow);
  return Retained({ aFingerprint });
}

crash_ledger::fingerprint_list
crash_ledger::Merge(std::span<const protocol::crash_record> aRecords,
                    instant aNow)
{
  Step(aNow);
  fingerprint_list changed;
  for (const protocol::crash_record& record :
       aRecords.first(std::min(aRecords.size(), kMaxSuspects))) {
    if (MergeRecord(record, aNow)) {
      changed.push_back(*FingerprintFromBytes(record.fingerprint));
    }
  }
  Refresh(aNow);
  return Retained(std::move(changed));
}

bool
crash_ledger::MergeRecord(const protocol::crash_record& aRecord, instant aNow)
{
  const auto fingerprint = FingerprintFromBytes(aRecord.fingerprint);
  if (!fingerprint || !IsPlausible(aRecord)) {
    return false;
  }
  const auto known = mSuspects.find(*fingerprint);
  crash_suspect merged = known == mSuspects.end()
                           ? crash_suspect(aRecord.service_name, aRecord.target)
                           : known->second;
  bool is_news = false;
  for (const protocol::ended_run& run : aRecord.ends) {
    is_news |= merged.Add({ run.started_at, run.instance },
                          { aNow - duration(run.run_began_us),
                            aNow - duration(run.ended_us),
                            run.cleared });
  }
  if (known == mSuspects.end() &&
      aNow >= merged.RetainedUntil() - kForgettingMargin) {
    return false;
  }
  mSuspects.insert_or_assign(*fingerprint, std::move(merged));
  return is_news;
}

void
crash_ledger::Step(instant aNow)
{
  if (aNow >= mNextChange) {
    Refresh(aNow);
  }
}

void
crash_ledger::Refresh(instant aNow)
{
  std::erase_if(mSuspects, [&](const auto& aItem) {
    return aNow >= aItem.second.RetainedUntil();
  });
  EvictSurplus(aNow);
  std::uint64_t hash = 0;
  crash_verdicts::standing_map standings;
  mNextChange = instant::max();
  const auto change_at = [&](instant aChange) {
    mNextChange = aChange > aNow ? std::min(mNextChange, aChange) : mNextChange;
  };
  for (const auto& [fingerprint, suspect] : mSuspects) {
    const instant forgotten_at = suspect.RetainedUntil();
    const instant refused_until = suspect.RefusedUntil();
    change_at(refused_until);
    change_at(forgotten_at);
    change_at(forgotten_at - kForgettingMargin);
    if (aNow < forgotten_at - kForgettingMargin) {
      hash =
        CombineHashes(hash, StableHash(ToBytes(fingerprint), suspect.Hash()));
    }
    if (const int ends = suspect.CountedEnds(); ends > 0) {
      standings[fingerprint] = { ends,
                                 aNow < refused_until ? refused_until
                                                      : kNever };
    }
  }
  mHash = static_cast<std::int64_t>(hash);
  if (standings != mStandings) {
    mStandings = std::move(standings);
    ++mGeneration;
  }
}

// The first to go are those with the fewest counted ends, and among these the
// oldest. Of the refused requests, those above kMaxRefusedWhenFull go, the one
// whose refusal ends first before others.
void
crash_ledger::EvictSurplus(instant aNow)
{
  if (mSuspects.size() <= kMaxSuspects) {
    return;
  }
  using rank = std::tuple<instant, int, instant, request_fingerprint>;
  std::vector<rank> ranks;
  for (const auto& [fingerprint, suspect] : mSuspects) {
    const instant refused_until = suspect.RefusedUntil();
    ranks.emplace_back(aNow < refused_until ? refused_until : kNever,
                       suspect.CountedEnds(),
                       suspect.LastEnd(),
                       fingerprint);
  }
  const auto surplus =
    static_cast<std::ptrdiff_t>(mSuspects.size() - kMaxSuspects);
  std::sort(ranks.begin(), ranks.end());
  const auto first_refused =
    std::find_if(ranks.begin(), ranks.end(), [](const rank& aRank) {
      return std::get<0>(aRank) != kNever;
    });
  const std::ptrdiff_t surplus_refused = std::clamp<std::ptrdiff_t>(
    ranks.end() - first_refused -
      static_cast<std::ptrdiff_t>(kMaxRefusedWhenFull),
    0,
    surplus);
  const auto evict = [&](const rank& aRank) {
    mSuspects.erase(std::get<request_fingerprint>(aRank));
  };
  std::for_each(
    ranks.begin(), ranks.begin() + surplus - surplus_refused, evict);
  std::for_each(first_refused, first_refused + surplus_refused, evict);
}

crash_ledger::fingerprint_list
crash_ledger::Retained(fingerprint_list aFingerprints) const
{
  std::erase_if(aFingerprints, [&](const request_fingerprint& aFingerprint) {
    return !mSuspects.contains(aFingerprint);
  });
  // A server may have run several copies of a request.
  std::sort(aFingerprints.begin(), aFingerprints.end());
  const auto copies = std::unique(aFingerprints.begin(), aFingerprints.end());
  aFingerprints.erase(copies, aFingerprints.end());
  return aFingerprints;
}

std::vector<protocol::crash_record>
crash_ledger::Records(instant aNow) const
{
  std::vector<protocol::crash_record> records;
  for (const auto& [fingerprint, suspect] : mSuspects) {
    records.push_back(MakeRecord(fingerprint, suspect, aNow));
  }
  return records;
}

std::vector<protocol::crash_record>
crash_ledger::Records(std::span<const request_fingerprint> aFingerprints,
                      instant aNow) const
{
  std::vector<protocol::crash_record> records;
  for (const request_fingerprint& fingerprint : aFingerprints) {
    const auto found = mSuspects.find(fingerprint);
    if (found != mSuspects.end()) {
      records.push_back(MakeRecord(fingerprint, found->second, aNow));
    }
  }
  return records;
}

} // namespace plantaindale
