#include "plantaindale/observe/state_dump.h"

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
MillisUntil(instant aThen, instant aNow)
{
  if (aThen == kNever) {
    return 0;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aThen - aNow)
    .count();
}

json::value
DumpLease(const local_membership& aOwn, instant aNow)
{
  json::array witnesses;
  for (const node_identity& witness : aOwn.Lease().Witnesses()) {
    witnesses.push_back(json::value(
      { { "node", ToText(witness) },
        { "last_vouch_round", aOwn.Lease().LastVouchedRound(witness) } }));
  }
  return { { "held", aOwn.Lease().Holds(aNow) },
           { "ends_in_ms", MillisUntil(aOwn.Lease().LeaseUntil(), aNow) },
           { "round", aOwn.Lease().CurrentRound() },
           { "unresolved_write", aOwn.Lease().HasUnresolvedWrite() },
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
Print(const json::value& aValue, const std::string& aIndent, std::string& aText)
{
  const std::string deeper = aIndent + "  ";
  if (const auto* object = aValue.if_object(); object && !object->empty()) {
    std::string_view separator = "{\n";
    for (const auto& member : *object) {
      aText += separator;
      aText += deeper + json::serialize(json::value(member.key())) + ": ";
      Print(member.value(), deeper, aText);
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
    aText += deeper + json::serialize(item);
    separator = ",\n";
  }
  aText += "\n" + aIndent + "]";
}

} // namespace

json::value
DumpControlState(const node_machine& aMachine, instant aNow)
{
  const cluster_view& view = aMachine.View();
  json::array closed;
  for (const shard_id& shard : aMachine.ShardManager().ClosedShards()) {
    closed.push_back(json::value(ToText(shard)));
  }
  json::array proofs;
  for (const auto& [name, proof] :
       aMachine.FencingCoordinator().Retirements()) {
    proofs.push_back(json::value(
      { { "victim", ToText(proof.FencedNode()) },
        { "witnesses_to_ask", proof.UnacknowledgedWitnesses().size() } }));
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
           { "retirements", std::move(proofs) },
           { "nodes", DumpNodes(view) },
           { "owned_shards", DumpOwnedShards(aMachine) },
           { "closed_shards", std::move(closed) } };
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
           { "typical_request_us", aState.mTypicalMicros } };
}

json::value
DumpTransport(const transport_counts& aCounts)
{
  return { { "sent_messages", aCounts.mSentMessages },
           { "sent_bytes", aCounts.mSentBytes },
           { "received_messages", aCounts.mReceivedMessages },
           { "received_bytes", aCounts.mReceivedBytes },
           { "malformed", aCounts.mMalformed } };
}

std::string
PrettyPrint(const json::value& aValue)
{
  std::string text;
  Print(aValue, "", text);
  return text + "\n";
}

} // namespace plantaindale
