#include "plantaindale/crashes/verdict_archive.h"

#include <algorithm>
#include <stdexcept>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/crashes/crash_ledger.h"
#include "plantaindale/membership/cluster_view.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// Separates the seed from that of other generators of the node.
constexpr std::uint64_t kSeedSalt = 0x7665'7264'6963'74;

json::value
ToJson(const protocol::crash_record& aRecord)
{
  json::array ends;
  for (const protocol::ended_run& run : aRecord.ends) {
    ends.push_back({ { "instance", run.instance },
                     { "started_at", run.started_at },
                     { "run_began_us", run.run_began_us },
                     { "ended_us", run.ended_us },
                     { "cleared", run.cleared } });
  }
  return { { "fingerprint",
             ToText(*FingerprintFromBytes(aRecord.fingerprint)) },
           { "service", aRecord.service_name },
           { "target", aRecord.target },
           { "ends", std::move(ends) } };
}

// Throws unless the value is a time from 0 to 2^53.
std::int64_t
TimeFromJson(const json::value& aValue)
{
  const auto time = aValue.to_number<std::int64_t>();
  if (time < 0 || time > kMaxStoredNumber) {
    throw std::invalid_argument("expected a time from 0 to 2^53");
  }
  return time;
}

// Throws if the value has another form. `aElapsed` is the time since it was
// written.
protocol::crash_record
RecordFromJson(const json::value& aValue, duration aElapsed)
{
  protocol::crash_record record;
  const auto fingerprint =
    FingerprintFromText(aValue.at("fingerprint").as_string());
  if (!fingerprint) {
    throw std::invalid_argument("expected a fingerprint of 32 digits");
  }
  record.fingerprint = ToBytes(*fingerprint);
  record.service_name = aValue.at("service").as_string();
  record.target = aValue.at("target").as_string();
  for (const json::value& end : aValue.at("ends").as_array()) {
    protocol::ended_run run;
    run.instance = end.at("instance").as_string();
    run.started_at = end.at("started_at").to_number<std::int64_t>();
    run.run_began_us = TimeFromJson(end.at("run_began_us")) + aElapsed.count();
    run.ended_us = TimeFromJson(end.at("ended_us")) + aElapsed.count();
    run.cleared = end.at("cleared").as_bool();
    record.ends.push_back(std::move(run));
  }
  return record;
}

std::vector<protocol::crash_record>
ParseRecords(const std::string& aBody, unix_time aNow)
{
  const json::value stored = json::parse(aBody);
  const unix_time written(TimeFromJson(stored.at("written_at")));
  const duration elapsed = std::max(aNow - written, unix_time(0));
  std::vector<protocol::crash_record> records;
  for (const json::value& request : stored.at("requests").as_array()) {
    records.push_back(RecordFromJson(request, elapsed));
  }
  return records;
}

std::uint64_t
HashOf(const protocol::crash_record& aRecord)
{
  crash_suspect suspect;
  for (const protocol::ended_run& run : aRecord.ends) {
    suspect.Add({ run.started_at, run.instance },
                { instant{}, instant{}, run.cleared });
  }
  return suspect.Hash();
}

bool
HasVerdict(const crash_suspect& aSuspect)
{
  return aSuspect.RefusedUntil() != kNever;
}

} // namespace

verdict_archive::verdict_archive(std::uint64_t aSeed)
  : mRandom(aSeed ^ kSeedSalt)
{
}

std::vector<protocol::crash_record>
verdict_archive::TakeStored(const cluster_view& aView, unix_time aNow)
{
  if (aView.Generation() == mViewGeneration) {
    return {};
  }
  mViewGeneration = aView.Generation();
  const stored_object* object = aView.FindObject(kVerdictsKind, kVerdictsName);
  if (object == nullptr || object->revision == mRevision) {
    return {};
  }
  mRevision = object->revision;
  mIsDeleted = object->deleted;
  mStored.clear();
  if (mRevision == 0 || mIsDeleted) {
    return {}; // the store has lost it
  }
  try {
    std::vector<protocol::crash_record> records =
      ParseRecords(object->body, aNow);
    for (const protocol::crash_record& record : records) {
      mStored[*FingerprintFromBytes(record.fingerprint)] = HashOf(record);
    }
    return records;
  } catch (const std::exception& error) {
    log_event("object_refused", log_level::kWarning)
      .With("kind", kVerdictsKind)
      .With("revision", mRevision)
      .With("reason", error.what());
    return {};
  }
}

void
verdict_archive::Step(const crash_ledger& aLedger,
                      instant aNow,
                      unix_time aUnixNow,
                      const cluster_view& aView,
                      action_list& aActions)
{
  const bool has_changed = aLedger.Generation() != mCheckedGeneration ||
                           aLedger.Hash() != mCheckedHash ||
                           mRevision != mCheckedRevision || mIsLocal;
  if (has_changed) {
    mCheckedGeneration = aLedger.Generation();
    mCheckedHash = aLedger.Hash();
    mCheckedRevision = mRevision;
    const bool was_outdated = mIsOutdated;
    mIsOutdated = IsOutdated(aLedger);
    if (!mIsOutdated) {
      mWriteAt = instant::max();
    } else if (mIsLocal || !was_outdated) {
      const instant first = mIsLocal ? aNow : aNow + DrawDelay(aView);
      mWriteAt = std::min(mWriteAt, first);
    }
    mIsLocal = false;
  }
  // Before the first list, what the store has isn't known.
  const bool may_write = mWriteToken == 0 && aView.Revision() > 0;
  if (may_write && aNow >= mWriteAt) {
    mWriteAt = aNow + DrawDelay(aView);
    Write(aLedger, aNow, aUnixNow, aActions);
  }
}

bool
verdict_archive::IsOutdated(const crash_ledger& aLedger) const
{
  const auto& suspects = aLedger.Suspects();
  const bool has_outdated = std::any_of(
    mStored.begin(), mStored.end(), [&](const hash_map::value_type& aStored) {
      const auto known = suspects.find(aStored.first);
      return known == suspects.end() || known->second.CountedEnds() == 0;
    });
  const auto is_missing = [&](const auto& aSuspect) {
    const auto stored = mStored.find(aSuspect.first);
    return HasVerdict(aSuspect.second) &&
           (stored == mStored.end() ||
            (mIsLocal && stored->second != aSuspect.second.Hash()));
  };
  return has_outdated ||
         std::any_of(suspects.begin(), suspects.end(), is_missing);
}

void
verdict_archive::Write(const crash_ledger& aLedger,
                       instant aNow,
                       unix_time aUnixNow,
                       action_list& aActions)
{
  mWriting.clear();
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fingerprint, suspect] : aLedger.Suspects()) {
    const bool is_kept =
      HasVerdict(suspect) ||
      (mStored.contains(fingerprint) && suspect.CountedEnds() > 0);
    if (is_kept) {
      fingerprints.push_back(fingerprint);
      mWriting[fingerprint] = suspect.Hash();
    }
  }
  json::array requests;
  for (const auto& record : aLedger.Records(fingerprints, aNow)) {
    requests.push_back(ToJson(record));
  }
  const json::value body = { { "written_at", aUnixNow.count() },
                             { "requests", std::move(requests) } };
  mWriteToken = aActions.Write({ std::string(kVerdictsKind),
                                 std::string(kVerdictsName),
                                 mIsDeleted ? 0 : mRevision,
                                 json::serialize(body) });
}

bool
verdict_archive::OnWriteFinished(const write_finished& aEvent)
{
  if (mWriteToken == 0 || aEvent.mToken != mWriteToken) {
    return false;
  }
  mWriteToken = 0;
  if (aEvent.mResult.ok()) {
    mRevision = aEvent.mResult->revision;
    mIsDeleted = false;
    mStored = std::move(mWriting);
  }
  return true;
}

duration
verdict_archive::DrawDelay(const cluster_view& aView)
{
  const duration spread =
    kMinSpread +
    kDelayPerNode * static_cast<std::int64_t>(aView.Nodes().size());
  std::uniform_int_distribution<duration::rep> draw(0, spread.count());
  return kMinDelay + duration(draw(mRandom));
}

} // namespace plantaindale
