// Measures the memory and CPU cost of one node's control state in clusters too
// large to run as processes on one machine. It feeds the stored objects of such
// a cluster to a single node_machine and times its steps; no other part of the
// cluster runs.
//
//   bench_control_scale NODES...
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

#include "absl/strings/str_cat.h"
#include "bench/process_usage.h"
#include "plantaindale/net/codec.h"
#include "plantaindale/node/node_machine.h"
#include "plantaindale/request/routing_snapshot.h"

namespace plantaindale::bench {
namespace {

constexpr int kShardsPerNode = 100;
constexpr int kFailureDomains = 11;
constexpr int kTimedSteps = 400;

std::string
NodeName(int aNode)
{
  return absl::StrCat("n", aNode);
}

stored_object
NodeObject(int aNode, int aNodes, std::int64_t aRevision)
{
  node_record record;
  record.mIdentity = MakeIdentity(NodeName(aNode), 1);
  record.mRegion = absl::StrCat("region-", aNode % 3);
  record.mFailureDomain = absl::StrCat("domain-", aNode % kFailureDomains);
  const std::string host =
    absl::StrCat("10.", aNode / 65536, ".", aNode / 256, ".", aNode % 256);
  record.mAddresses = {
    host + ":80", host + ":81", host + ":82", host + ":83"
  };
  for (int i = 1; i <= 3; ++i) {
    const int witness = (aNode + i * 7) % aNodes;
    record.mWitnesses.push_back(MakeIdentity(NodeName(witness), 1));
  }
  record.mServer = announced_server{ "board", host + ":84", 12, 130, true };
  stored_object object;
  object.kind = std::string(kNodeKind);
  object.name = NodeName(aNode);
  object.revision = aRevision;
  object.body = Serialize(record);
  return object;
}

stored_object
PageObject(int aPage, int aNodes, std::int64_t aRevision)
{
  shard_page page = MakeEmptyPage("board", aPage, kShardsPerNode * aNodes);
  for (std::size_t place = 0; place < page.mEntries.size(); ++place) {
    const int owner = (page.FirstShard() + static_cast<int>(place)) % aNodes;
    page.mEntries[place] = { MakeIdentity(NodeName(owner), 1), 1 };
  }
  stored_object object;
  object.kind = std::string(kShardPageKind);
  object.name = PageName("board", aPage);
  object.revision = aRevision;
  object.body = Serialize(page);
  return object;
}

// The object of node 0 after it has left the cluster, so that it can rejoin.
stored_object
LeftNodeObject(int aNodes, std::int64_t aRevision)
{
  stored_object object = NodeObject(0, aNodes, aRevision);
  auto record = ParseNodeRecord(object);
  record->mState = node_state::kLeft;
  record->mRetiredThrough = 1;
  object.body = Serialize(*record);
  return object;
}

// Passes the event to the machine, and replies to its vouch requests and writes
// as its witnesses and the platform would.
void
StepAndReply(node_machine& aMachine, const event& aEvent, instant aNow)
{
  for (const action& action : aMachine.Step(aEvent, aNow)) {
    const auto* sent = std::get_if<send_message>(&action);
    if (sent != nullptr && sent->mMessage.__isset.vouch) {
      protocol::vouch_reply reply;
      reply.holder = sent->mMessage.vouch.holder;
      reply.witness = sent->mMessage.vouch.witness;
      reply.round = sent->mMessage.vouch.round;
      reply.vouched = true;
      control_message message;
      message.__set_vouched(reply);
      aMachine.Step(message_received{ message }, aNow);
    }
    const auto* write = std::get_if<write_object>(&action);
    if (write == nullptr) {
      continue;
    }
    stored_object stored;
    stored.kind = write->mWrite.mKind;
    stored.name = write->mWrite.mName;
    stored.revision = write->mWrite.mBaseRevision + 1'000'000;
    stored.body = write->mWrite.mBody;
    aMachine.Step(write_finished{ write->mToken, stored }, aNow);
  }
}

object_delta
FullStore(int aNodes)
{
  object_delta delta;
  std::int64_t revision = 1;
  stored_object configuration;
  configuration.kind = std::string(kConfigurationKind);
  configuration.name = std::string(kConfigurationName);
  configuration.revision = ++revision;
  cluster_configuration document;
  document.mNumber = 1;
  document.mDocument =
    absl::StrCat(R"({"services":{"board":{"path_prefix":"/board/","shards":)",
                 kShardsPerNode * aNodes,
                 R"(,"key":{"path_segment":1}}}})");
  configuration.body = Serialize(document);
  delta.objects.push_back(configuration);
  for (int node = 0; node < aNodes; ++node) {
    delta.objects.push_back(NodeObject(node, aNodes, ++revision));
  }
  for (int page = 0; page < PageCount(kShardsPerNode * aNodes); ++page) {
    delta.objects.push_back(PageObject(page, aNodes, ++revision));
  }
  delta.to_revision = revision;
  return delta;
}

double
MicrosPerCall(duration aTime, int aTimes)
{
  return static_cast<double>(aTime.count()) / aTimes;
}

void
Measure(int aNodes)
{
  object_delta store = FullStore(aNodes);
  store.objects[1] = LeftNodeObject(aNodes, store.objects[1].revision);
  const std::size_t largest = [&] {
    std::size_t size = 0;
    for (const stored_object& object : store.objects) {
      size = std::max(size, object.body.size());
    }
    return size;
  }();
  const double mb_before = UsageOf(getpid()).mResidentMb;
  node_description description;
  description.mName = NodeName(0);
  description.mProcess = "bench";
  description.mFailureDomain = "domain-0";
  description.mAddresses.mControl = "10.0.0.0:82";
  node_machine machine(description, lease_timing(), 1);
  instant now = boot_clock::now();
  const instant load_start = boot_clock::now();
  StepAndReply(machine, store_changed{ store }, now);
  const duration load_time = boot_clock::now() - load_start;
  const double mb = UsageOf(getpid()).mResidentMb - mb_before;

  const auto time_ticks = [&] {
    const instant start = boot_clock::now();
    for (int i = 0; i < kTimedSteps; ++i) {
      now += std::chrono::milliseconds(50);
      StepAndReply(machine, tick{}, now);
    }
    return MicrosPerCall(boot_clock::now() - start, kTimedSteps);
  };
  const double tick_us = time_ticks();

  std::int64_t revision = store.to_revision;
  const auto time_changes = [&](auto aMakeObject) {
    const instant start = boot_clock::now();
    for (int i = 0; i < kTimedSteps / 4; ++i) {
      object_delta delta;
      delta.from_revision = revision;
      delta.objects.push_back(aMakeObject(i, ++revision));
      delta.to_revision = revision;
      now += std::chrono::milliseconds(50);
      StepAndReply(machine, store_changed{ delta }, now);
    }
    return MicrosPerCall(boot_clock::now() - start, kTimedSteps / 4);
  };
  const double node_us = time_changes([&](int aIndex, std::int64_t aRevision) {
    return NodeObject(1 + aIndex % (aNodes - 1), aNodes, aRevision);
  });
  const double page_us = time_changes([&](int aIndex, std::int64_t aRevision) {
    const int pages = PageCount(kShardsPerNode * aNodes);
    return PageObject(aIndex % pages, aNodes, aRevision);
  });

  const instant publish_start = boot_clock::now();
  for (int i = 0; i < 20; ++i) {
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->mNodes = machine.View().SharedNodes();
    snapshot->mPages = machine.View().Pages();
  }
  const double publish_us =
    MicrosPerCall(boot_clock::now() - publish_start, 20);
  control_message message;
  object_delta one;
  one.objects.push_back(PageObject(0, aNodes, 1));
  message.__set_delta(one);
  std::printf("%6d %8d %8.1f %9.1f %9.2f %10.1f %10.1f %11.1f %9zu %9zu\n",
              aNodes,
              kShardsPerNode * aNodes,
              mb,
              MicrosPerCall(load_time, 1000),
              tick_us,
              node_us,
              page_us,
              publish_us,
              largest,
              Encode(message).size());
  std::fflush(stdout);
  malloc_trim(0);
}

} // namespace
} // namespace plantaindale::bench

int
main(int argc, char** argv)
{
  std::printf(" nodes   shards view_mb   load_ms   tick_us  node_chg_us "
              "page_chg_us publish_us largest_b page_msg_b\n");
  for (int i = 1; i < argc; ++i) {
    plantaindale::bench::Measure(std::atoi(argv[i]));
  }
  return 0;
}
