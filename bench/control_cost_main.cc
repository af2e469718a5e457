// Measures the cost of the control plane by cluster size: CPU time, memory and
// network traffic per node, and calls to the platform. Runs the real programs
// without caller requests. Shows leases renewed by witnesses and, up to 16
// nodes, leases renewed in the platform.
//
//   bench_control_cost FOLDER SECONDS NODES...
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "absl/strings/str_cat.h"
#include "bench/process_usage.h"
#include "plantaindale/net/http_call.h"
#include "sessions/process_cluster.h"
#include <boost/json.hpp>

namespace plantaindale::bench {
namespace {

namespace json = boost::json;

constexpr int kShardsPerNode = 100;

struct usage_sample
{
  double mCpuSeconds = 0;
  double mResidentMb = 0;
  double mSentBytes = 0;
  double mSentMessages = 0;
  double mCalls = 0;
  double mWrites = 0;
};

usage_sample
SampleUsage(const sessions::process_cluster& aCluster, int aNodes)
{
  usage_sample sum;
  for (int node = 0; node < aNodes; ++node) {
    const process_usage usage = UsageOf(aCluster.NodeProcess(node));
    sum.mCpuSeconds += usage.mCpuSeconds;
    sum.mResidentMb += usage.mResidentMb;
    const auto dump =
      HttpCallBlocking({ aCluster.AdminAddress(node), "GET", "/dump", "" });
    if (dump.ok()) {
      const json::value transport = json::parse(dump->mBody).at("transport");
      sum.mSentBytes += transport.at("sent_bytes").to_number<double>();
      sum.mSentMessages += transport.at("sent_messages").to_number<double>();
    }
  }
  const json::value calls = json::parse(aCluster.PlatformCalls());
  sum.mWrites = calls.at("writes").to_number<double>();
  sum.mCalls = sum.mWrites + calls.at("reads").to_number<double>() +
               calls.at("watches").to_number<double>();
  return sum;
}

void
Measure(const std::string& aFolder, int aSeconds, int aNodes, bool aInPlatform)
{
  sessions::process_cluster_settings settings;
  settings.mNodes = aNodes;
  settings.mShards = kShardsPerNode * aNodes;
  settings.mBasePort = 22000;
  settings.mFolder = aFolder;
  settings.mRenewInPlatform = aInPlatform;
  sessions::process_cluster cluster(settings);
  cluster.AwaitServed();
  std::this_thread::sleep_for(std::chrono::seconds(20)); // lets shards balance
  const usage_sample before = SampleUsage(cluster, aNodes);
  std::this_thread::sleep_for(std::chrono::seconds(aSeconds));
  const usage_sample after = SampleUsage(cluster, aNodes);
  const double per_node_second = 1.0 / aNodes / aSeconds;
  std::printf("%-9s %5d %10.3f %9.1f %9.2f %9.1f %10.2f %10.2f\n",
              aInPlatform ? "platform" : "witnesses",
              aNodes,
              100 * (after.mCpuSeconds - before.mCpuSeconds) * per_node_second,
              after.mResidentMb / aNodes,
              (after.mSentBytes - before.mSentBytes) * per_node_second / 1000,
              (after.mSentMessages - before.mSentMessages) * per_node_second,
              (after.mCalls - before.mCalls) / aSeconds,
              (after.mWrites - before.mWrites) / aSeconds);
  std::fflush(stdout);
}

} // namespace
} // namespace plantaindale::bench

int
main(int argc, char** argv)
{
  if (argc < 4) {
    std::printf("usage: bench_control_cost FOLDER SECONDS NODES...\n");
    return 2;
  }
  std::printf("leases    nodes  cpu_%%_node  mb_node  kb/s_node  msg/s_node  "
              "calls/s  writes/s\n");
  for (int i = 3; i < argc; ++i) {
    // The cost of the baseline grows with the square of the node count.
    const bool with_baseline = std::atoi(argv[i]) <= 16;
    for (const bool in_platform : { false, true }) {
      if (in_platform && !with_baseline) {
        continue;
      }
      plantaindale::bench::Measure(
        argv[1], std::atoi(argv[2]), std::atoi(argv[i]), in_platform);
    }
  }
  return 0;
}
