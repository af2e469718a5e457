// Restarts backend servers that keep grants, each at its address and beside the
// same node, and checks the grants that they accept.
#include <charconv>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "plantaindale/load/history_checker.h"
#include "sessions/caller_request.h"
#include "sessions/process_cluster.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 3;
constexpr int kShards = 24;
constexpr int kKeys = 240;
constexpr seconds kServedLimit{ 20 };

process_cluster_settings
GrantSettings(int aBasePort, int aAnnounceDelayMs)
{
  process_cluster_settings settings = MakeTestSettings(aBasePort);
  settings.mNodes = kNodes;
  settings.mShards = kShards;
  settings.mNumericKeys = kKeys;
  settings.mKeepsGrants = true;
  settings.mChecksFences = false;
  settings.mAnnounceDelayMs = aAnnounceDelayMs;
  return settings;
}

// Whether, within a time, the first key of each shard is answered at `aNode`.
bool
AwaitAnswers(const process_cluster& aCluster, int aNode)
{
  const instant end = boot_clock::now() + kServedLimit;
  const std::string address =
    aCluster.CallerAddresses()[static_cast<std::size_t>(aNode)];
  for (int key = 0; key < kKeys;) {
    const call_request request{ "GET", absl::StrCat("/board/", key), "served" };
    if (CallNode(address, request).mStatus == 200) {
      key += kKeys / kShards;
    } else if (boot_clock::now() >= end) {
      return false;
    } else {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  return true;
}

// The accepted grants whose fencing token isn't above that of an earlier start,
// one line each.
std::vector<std::string>
StaleGrants(const std::vector<run_log_entry>& aRuns)
{
  struct holder
  {
    std::int64_t mFence = 0;
    std::string mStart;
  };
  std::vector<holder> holders(kKeys);
  std::vector<std::string> stale;
  for (const run_log_entry& run : aRuns) {
    if (run.mEventName != "grant") {
      continue;
    }
    const std::vector<std::string> range = absl::StrSplit(run.mShard, '-');
    const auto first = std::stoul(range[0]);
    const auto last = std::stoul(range[1]);
    const std::int64_t fence = std::stoll(run.mEpoch);
    const holder* former = nullptr;
    for (std::size_t key = first; key <= last; ++key) {
      const bool is_stale =
        holders[key].mStart != run.mTag && fence <= holders[key].mFence;
      former = is_stale ? &holders[key] : former;
    }
    if (former != nullptr) {
      stale.push_back(absl::StrCat(run.mTag,
                                   " took keys ",
                                   run.mShard,
                                   " with fence ",
                                   fence,
                                   "; ",
                                   former->mStart,
                                   " had keys of them with fence ",
                                   former->mFence));
    }
    for (std::size_t key = first; key <= last; ++key) {
      if (fence >= holders[key].mFence) {
        holders[key] = { fence, run.mTag };
      }
    }
  }
  return stale;
}

// Restarts each server twice, one after the other.
void
CheckRestarts(process_cluster_settings aSettings)
{
  process_cluster cluster(std::move(aSettings));
  BOOST_REQUIRE(cluster.AwaitServed());
  BOOST_REQUIRE(AwaitAnswers(cluster, 0));
  for (int restart = 0; restart < 2 * kNodes; ++restart) {
    const int node = restart % kNodes;
    cluster.RestartServer(node);
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_TEST_CONTEXT("restart " << restart)
    {
      BOOST_CHECK(AwaitAnswers(cluster, (node + 1) % kNodes));
    }
  }
  const auto stale = StaleGrants(ReadRunLog(cluster.RunLog()));
  BOOST_CHECK_EQUAL(stale.size(), 0u);
  for (std::size_t i = 0; i < std::min<std::size_t>(stale.size(), 5); ++i) {
    BOOST_TEST_MESSAGE(stale[i]);
  }
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(restarted_server_at_the_same_address)

BOOST_AUTO_TEST_CASE(gets_no_key_under_a_former_fence_if_it_is_announced_late)
{
  CheckRestarts(GrantSettings(32400, 600));
}

BOOST_AUTO_TEST_CASE(
  gets_no_key_under_a_former_fence_if_it_is_announced_at_once)
{
  CheckRestarts(GrantSettings(32500, 0));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
