#include "plantaindale/crashes/crash_control.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace plantaindale {
namespace {

constexpr std::size_t kMaxLoggedSuspects = 8;
// Separates the seed from that of other generators of the node.
constexpr std::uint64_t kSeedSalt = 0x6372'6173'6865'73;

std::string
DescribeSuspects(const server_end& aEnd)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aEnd.mRuns.size(), kMaxLoggedSuspects);
       ++i) {
    const interrupted_run& run = aEnd.mRuns[i];
    absl::StrAppend(&text,
                    i == 0 ? "" : "; ",
                    ToText(run.mFingerprint),
                    " ",
                    run.mTarget.substr(0, crash_ledger::kMaxTargetBytes),
                    " ",
                    run.mRequest.substr(0, crash_ledger::kMaxNameBytes));
  }
  return text;
}

std::int64_t
SecondsUntil(instant aEnd, instant aNow)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aEnd - aNow).count();
}

} // namespace

crash_control::crash_control(std::string aName,
                             std::string aFailureDomain,
                             std::uint64_t aSeed)
  : mName(aName)
  , mGossip(std::move(aName), std::move(aFailureDomain), aSeed ^ kSeedSalt)
  , mArchive(aSeed)
{
}

void
crash_control::OnEvent(const server_ended& aEvent,
                       instant aNow,
                       const cluster_view& aView,
                       action_list& aActions)
{
  server_end end = aEvent.mEnd;
  if (end.mInstance.empty()) {
    // A server without a name of its own ends once at a time.
    end.mInstance = mName;
    end.mStartedAt = ToMicros(aNow);
  }
  ++mCounts.mServerEnds;
  const std::size_t unlogged =
    end.mRuns.size() - std::min(end.mRuns.size(), kMaxLoggedSuspects);
  aActions.Add(
    log_event_action{ "server_ended",
                      end.mInstance,
                      "",
                      { { "service", end.mService },
                        { "started_at", absl::StrCat(end.mStartedAt) },
                        { "suspects", DescribeSuspects(end) },
                        { "more", absl::StrCat(unlogged) } } });
  Spread(mLedger.OnServerEnded(end, aNow), aNow, aView, aActions);
  LogVerdicts(aNow, "", aActions);
}

void
crash_control::OnEvent(const suspect_completed& aEvent,
                       instant aNow,
                       const cluster_view& aView,
                       action_list& aActions)
{
  const auto changed = mLedger.Clear(aEvent.mFingerprint, aNow);
  if (!changed.empty()) {
    aActions.LogEvent("suspect_cleared", ToText(aEvent.mFingerprint));
  }
  Spread(changed, aNow, aView, aActions);
  LogVerdicts(aNow, "it ran to its end", aActions);
}

void
crash_control::OnEvent(const refusal_lifted& aEvent,
                       instant aNow,
                       const cluster_view& aView,
                       action_list& aActions)
{
  Spread(mLedger.Clear(aEvent.mFingerprint, aNow), aNow, aView, aActions);
  LogVerdicts(aNow, "lifted by the operator", aActions);
}

void
crash_control::OnRecords(std::span<const protocol::crash_record> aRecords,
                         instant aNow,
                         const cluster_view& aView,
                         action_list& aActions)
{
  const auto changed = mLedger.Merge(aRecords, aNow);
  if (!changed.empty()) {
    mGossip.Forward(mLedger.Records(changed, aNow), aView, aActions);
  }
  LogVerdicts(aNow, "cleared or lifted at another node", aActions);
}

bool
crash_control::OnDigest(const protocol::digest& aDigest,
                        instant aNow,
                        action_list& aActions)
{
  // Announcements and notices to watchers carry no hash.
  const bool has_hash = !aDigest.sender.name.empty() && !aDigest.cannot_watch;
  const bool is_equal = aDigest.crashes_hash == mLedger.Hash();
  if (!has_hash || is_equal || !mGossip.TryExchange(aDigest.address, aNow)) {
    return false;
  }
  crash_gossip::Send(aDigest.address, mLedger.Records(aNow), aActions);
  return true;
}

void
crash_control::Step(instant aNow,
                    unix_time aUnixNow,
                    const cluster_view& aView,
                    action_list& aActions)
{
  const auto stored = mArchive.TakeStored(aView, aUnixNow);
  if (!stored.empty()) {
    OnRecords(stored, aNow, aView, aActions);
  }
  mLedger.Step(aNow);
  LogVerdicts(aNow, "the refusal has lapsed", aActions);
  mArchive.Step(mLedger, aNow, aUnixNow, aView, aActions);
}

void
crash_control::Spread(const crash_ledger::fingerprint_list& aChanged,
                      instant aNow,
                      const cluster_view& aView,
                      action_list& aActions)
{
  if (!aChanged.empty()) {
    mArchive.OnLocalChange();
    mGossip.Broadcast(mLedger.Records(aChanged, aNow), aView, aActions);
  }
}

void
crash_control::LogVerdicts(instant aNow,
                           std::string_view aReason,
                           action_list& aActions)
{
  if (mLedger.Generation() == mLoggedGeneration) {
    return;
  }
  mLoggedGeneration = mLedger.Generation();
  const crash_verdicts before = std::exchange(mLogged, mLedger.Verdicts());
  for (const auto& [fingerprint, standing] : mLogged.Standings()) {
    const auto* known = before.Find(fingerprint);
    const bool is_renewed = known == nullptr || known->mEnds < standing.mEnds ||
                            known->mRefusedUntil == kNever;
    if (standing.mRefusedUntil != kNever && is_renewed) {
      LogVerdict(fingerprint, aNow, aActions);
    }
  }
  for (const auto& [fingerprint, standing] : before.Standings()) {
    if (standing.mRefusedUntil != kNever &&
        !mLogged.IsRefused(fingerprint, aNow)) {
      aActions.LogEvent(
        "crashing_request_allowed", ToText(fingerprint), std::string(aReason));
    }
  }
}

void
crash_control::LogVerdict(const request_fingerprint& aFingerprint,
                          instant aNow,
                          action_list& aActions)
{
  ++mCounts.mRefusals;
  const crash_suspect& suspect = mLedger.Suspects().at(aFingerprint);
  aActions.Add(log_event_action{
    "crashing_request_refused",
    ToText(aFingerprint),
    "",
    { { "service", suspect.Service() },
      { "target", suspect.Target() },
      { "ends", absl::StrCat(suspect.CountedEnds()) },
      { "for_s",
        absl::StrCat(SecondsUntil(suspect.RefusedUntil(), aNow)) } } });
}

} // namespace plantaindale
