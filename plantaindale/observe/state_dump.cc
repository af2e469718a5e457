#include "plantaindale/observe/state_dump.h"

#include "plantaindale/observe/crash_dump.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::string_view kPhaseNames[] = { "outside",
                                             "joining",
                                             "member",
                                             "left",
                                             "replaced" };

std::int64_t
MillisUntil(instant aEnd, instant aNow)
{
  if (aEnd == kNever) {
    return 0;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aEnd - aNow)
    .count();
}

json::value
DumpLease(const local_membership& aMembership, instant aNow)
{
  json::array witnesses;
  for (const node_identity& witness : aMembership.Lease().Witnesses()) {
    witnesses.push_back(
      json::value({ { "node", ToText(witness) },
                    { "last_vouch_round",
                      aMembership.Lease().LastVouchedRound(witness) } }));
  }
  return { { "held", aMembership.Lease().Holds(aNow) },
           { "ends_in_ms",
             MillisUntil(aMembership.Lease().LeaseUntil(), aNow) },
           { "round", aMembership.Lease().CurrentRound() },
           { "unresolved_write", aMembership.Lease().HasUnresolvedWrite() },
           { "witnesses", std::move(witnesses) } };
}

json::value
DumpVouches(const witness_ledger& aLedger, instant aNow)
{
  json::object holders;
  for (const auto& [name, holder] : aLedger.Holders()) {
    holders[name] = json::value(
      { { "incarnation", holder.mIncarnation },
        { "floor", holder.mFencedThrough },
        { "vouch_ends_in_ms", MillisUntil(holder.mVouchEnd, aNow) } });
  }
  return holders;
}

json::value
DumpNodes(const cluster_view& aView)
{
  json::object nodes;
  for (const auto& [name, record] : aView.Nodes()) {
    nodes[name] = json::value(
      { { "incarnation", record.mIdentity.incarnation },
        { "state", ToText(record.mState) },
        { "draining", record.mDraining },
        { "failure_domain", record.mFailureDomain },
        { "service", record.mServer ? record.mServer->mService : "" },
        { "revision", record.mRevision } });
  }
  return nodes;
}

json::value
DumpOwnedShards(const node_machine& aMachine)
{
  json::array owned;
  for (const auto& [name, page] : aMachine.View().Pages()) {
    for (std::size_t index = 0; index < page->mEntries.size(); ++index) {
      const shard_entry& entry = page->mEntries[index];
      if (aMachine.IsMember() &&
          entry.mOwner == aMachine.LocalMembership().Identity()) {
        const shard_id shard{ page->mService,
                              page->FirstShard() + static_cast<int>(index) };
        owned.push_back(json::value(
          { { "shard", ToText(shard) }, { "epoch", entry.mEpoch } }));
      }
    }
  }
  return owned;
}

void
AppendIndented(const json::value& aValue,
               const std::string& aIndent,
               std::string& aText)
{
  const std::string nested_indent = aIndent + "  ";
  if (const auto* object = aValue.if_object(); object && !object->empty()) {
    std::string_view separator = "{\n";
    for (const auto& member : *object) {
      aText += separator;
      aText +=
        nested_indent + json::serialize(json::value(member.key())) + ": ";
      AppendIndented(member.value(), nested_indent, aText);
      separator = ",\n";
    }
    aText += "\n" + aIndent + "}";
    return;
  }
  const auto* array = aValue.if_array();
  if (array == nullptr || array->empty()) {
    aText += json::serialize(aValue);
    return;
  }
  std::string_view separator = "[\n";
  for (const json::value& item : *array) {
    aText += separator;
    aText += nested_indent + json::serialize(item);
    separator = ",\n";
  }
  aText += "\n" + aIndent + "]";
}

} // namespace

json::value
DumpControlState(const node_machine& aMachine, instant aNow)
{
  const cluster_view& view = aMachine.View();
  json::array closed_shards;
  for (const shard_id& shard : aMachine.ShardManager().ClosedShards()) {
    closed_shards.push_back(json::value(ToText(shard)));
  }
  json::array retirements;
  for (const auto& [name, retirement] :
       aMachine.FencingCoordinator().Retirements()) {
    retirements.push_back(json::value(
      { { "victim", ToText(retirement.FencedNode()) },
        { "witnesses_to_ask", retirement.UnacknowledgedWitnesses().size() } }));
  }
  const auto phase =
    static_cast<std::size_t>(aMachine.LocalMembership().Phase());
  return { { "identity", ToText(aMachine.LocalMembership().Identity()) },
           { "phase", kPhaseNames[phase] },
           { "draining", aMachine.LocalMembership().IsDraining() },
           { "drain_waits_for",
             aMachine.LocalMembership().IsDraining()
               ? aMachine.DrainWaitsFor(aNow)
               : "" },
           { "revision", view.Revision() },
           { "configuration", view.Configuration().mNumber },
           { "watches_platform", aMachine.ShouldWatch(aNow) },
           { "lease", DumpLease(aMachine.LocalMembership(), aNow) },
           { "vouches_for", DumpVouches(aMachine.Ledger(), aNow) },
           { "retirements", std::move(retirements) },
           { "nodes", DumpNodes(view) },
           { "owned_shards", DumpOwnedShards(aMachine) },
           { "closed_shards", std::move(closed_shards) },
           { "crashes", DumpCrashes(aMachine.CrashControl().Ledger(), aNow) } };
}

json::value
DumpTrafficState(const traffic_state& aState)
{
  return { { "slots", aState.mSlots },
           { "running", aState.mRunning },
           { "waiting", aState.mWaiting },
           { "caller_requests", aState.mCallerRequests },
           { "remembered_idempotency_keys", aState.mRememberedKeys },
           { "retries_left", aState.mRetriesLeft },
           { "typical_request_us", aState.mTypicalMicros },
           { "longest_delay_us", aState.mLongestDelayMicros } };
}

json::value
DumpTransport(const transport_counts& aCounts)
{
  return { { "sent_messages", aCounts.mSentMessages },
           { "sent_bytes", aCounts.mSentBytes },
           { "received_messages", aCounts.mReceivedMessages },
           { "received_bytes", aCounts.mReceivedBytes },
           { "malformed", aCounts.mMalformed },
           { "superseded", aCounts.mSuperseded },
           { "waiting_bytes", aCounts.mWaitingBytes } };
}

json::value
DumpWork(const work_metrics& aWork, const thread_monitor& aMonitor)
{
  json::object kinds;
  for (const auto& [work, total] : aWork.Totals()) {
    kinds[json::string_view(work.data(), work.size())] =
      json::value({ { "count", total.mCount },
                    { "total_us", total.mElapsed.count() },
                    { "longest_us", total.mLongest.count() } });
  }
  return { { "longest_delay_us", aMonitor.LongestDelay().count() },
           { "kinds", std::move(kinds) } };
}

std::string
PrettyPrint(const json::value& aValue)
{
  std::string text;
  AppendIndented(aValue, "", text);
  return text + "\n";
}

} // namespace plantaindale
