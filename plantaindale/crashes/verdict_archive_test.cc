#include "plantaindale/crashes/verdict_archive.h"

#include <optional>

#include "plantaindale/crashes/crash_control.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const instant kStart{ hours(100) };
constexpr unix_time kStartOfDay = hours(24 * 365);
const request_fingerprint kDeadly{ 1, 1 };
constexpr duration kLongestDelay =
  verdict_archive::kMinDelay + verdict_archive::kMinSpread + seconds(1);

// The archive's object in a store with revisions.
struct fake_store
{
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite)
  {
    ++mWrites;
    if (mIsDown) {
      return absl::UnavailableError("down");
    }
    const std::int64_t current = mObject ? mObject->revision : 0;
    if (aWrite.mBaseRevision != current) {
      return absl::AbortedError("conflict");
    }
    Set(aWrite.mBody);
    return *mObject;
  }
  void Set(const std::string& aBody)
  {
    mObject.emplace();
    mObject->kind = std::string(kVerdictsKind);
    mObject->name = std::string(kVerdictsName);
    mObject->revision = ++mRevision;
    mObject->body = aBody;
  }

  std::optional<stored_object> mObject;
  std::int64_t mRevision = 1;
  int mWrites = 0;
  bool mIsDown = false;
};

// The crash control of a process that has read the store once.
class started_node
{
public:
  started_node(fake_store& aStore, instant aNow, unix_time aUnixNow)
    : mStore(aStore)
    , mNow(aNow)
    , mUnixNow(aUnixNow)
  {
    Watch();
  }

  void Watch()
  {
    object_delta delta;
    delta.to_revision = mStore.mRevision;
    if (mStore.mObject) {
      delta.objects.push_back(*mStore.mObject);
    }
    mView.Apply(delta, mNow);
    Step();
  }
  void Wait(duration aTime)
  {
    mNow += aTime;
    mUnixNow += std::chrono::duration_cast<unix_time>(aTime);
    Step();
  }
  void Step()
  {
    action_list actions(mNextToken);
    mControl.Step(mNow, mUnixNow, mView, actions);
    Execute(actions);
  }
  // Ends a server under the deadly request.
  void EndServer()
  {
    mNow += seconds(1);
    mUnixNow += seconds(1);
    server_end end;
    end.mService = "inventory";
    end.mInstance = "i-" + std::to_string(++mServers);
    end.mStartedAt = mServers;
    end.mEndedAt = mNow;
    end.mRuns.push_back(
      { kDeadly, "/stock/7", "attempt", mNow - milliseconds(30) });
    Feed(server_ended{ end });
    Step();
  }
  template<class event_type>
  void Feed(const event_type& aEvent)
  {
    action_list actions(mNextToken);
    mControl.OnEvent(aEvent, mNow, mView, actions);
    Execute(actions);
  }
  void HearFrom(const started_node& aOther)
  {
    action_list actions(mNextToken);
    mControl.OnRecords(
      aOther.mControl.Ledger().Records(mNow), mNow, mView, actions);
    Execute(actions);
    Step();
  }
  bool Refuses() const
  {
    return mControl.Ledger().Verdicts().IsRefused(kDeadly, mNow);
  }
  instant Now() const { return mNow; }
  unix_time UnixNow() const { return mUnixNow; }

private:
  void Execute(action_list& aActions)
  {
    for (const action& next : aActions.TakeActions()) {
      if (const auto* write = std::get_if<write_object>(&next)) {
        BOOST_CHECK(mControl.OnWriteFinished(
          { write->mToken, mStore.Write(write->mWrite) }));
      }
    }
  }

  fake_store& mStore;
  instant mNow;
  unix_time mUnixNow;
  cluster_view mView;
  crash_control mControl{ "n1", "d1", 1 };
  std::int64_t mNextToken = 1;
  int mServers = 0;
};

started_node
NodeWithVerdict(fake_store& aStore)
{
  started_node node(aStore, kStart, kStartOfDay);
  for (int end = 0; end < crash_suspect::kEndsToRefuse; ++end) {
    node.EndServer();
  }
  BOOST_REQUIRE(node.Refuses());
  return node;
}

BOOST_AUTO_TEST_SUITE(verdict_archives)

BOOST_AUTO_TEST_SUITE(after_the_loss_of_all_nodes)

// Guards against a request that ends servers again after all nodes were lost.
BOOST_AUTO_TEST_CASE(a_refused_request_stays_refused)
{
  fake_store store;
  const started_node lost = NodeWithVerdict(store);
  const started_node next(store, kStart - hours(50), lost.UnixNow());
  BOOST_CHECK(next.Refuses());
}

BOOST_AUTO_TEST_CASE(the_time_without_nodes_counts)
{
  fake_store store;
  const started_node lost = NodeWithVerdict(store);
  started_node next(store, kStart, lost.UnixNow() + minutes(9));
  BOOST_CHECK(next.Refuses());
  next.Wait(minutes(1) + seconds(5));
  BOOST_CHECK(!next.Refuses());
}

BOOST_AUTO_TEST_CASE(an_old_verdict_is_forgotten_and_removed)
{
  fake_store store;
  const started_node lost = NodeWithVerdict(store);
  started_node next(store, kStart, lost.UnixNow() + hours(30));
  BOOST_CHECK(!next.Refuses());
  next.Wait(kLongestDelay);
  BOOST_CHECK(store.mObject->body.find("inventory") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_clock_that_went_back_makes_no_end_younger)
{
  fake_store store;
  const started_node lost = NodeWithVerdict(store);
  started_node next(store, kStart, lost.UnixNow() - hours(2));
  BOOST_CHECK(next.Refuses());
  next.Wait(crash_suspect::kRefusalTime + seconds(5));
  BOOST_CHECK(!next.Refuses());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(writes)

BOOST_AUTO_TEST_CASE(come_at_once_from_the_node_that_saw_the_end)
{
  fake_store store;
  const started_node node = NodeWithVerdict(store);
  BOOST_CHECK_EQUAL(store.mWrites, 1);
}

BOOST_AUTO_TEST_CASE(come_later_from_others_if_the_first_was_lost)
{
  fake_store store;
  store.mIsDown = true;
  started_node lost = NodeWithVerdict(store);
  started_node other(store, lost.Now(), lost.UnixNow());
  store.mWrites = 0;
  other.HearFrom(lost);
  BOOST_CHECK_EQUAL(store.mWrites, 0);
  store.mIsDown = false;
  other.Wait(kLongestDelay);
  BOOST_CHECK_EQUAL(store.mWrites, 1);
  BOOST_CHECK(store.mObject);
}

BOOST_AUTO_TEST_CASE(stop_once_the_store_has_the_verdict)
{
  fake_store store;
  started_node first = NodeWithVerdict(store);
  started_node other(store, first.Now(), first.UnixNow());
  other.HearFrom(first);
  for (int i = 0; i < 10; ++i) {
    first.Wait(kLongestDelay);
    first.Watch();
    other.Wait(kLongestDelay);
  }
  BOOST_CHECK_EQUAL(store.mWrites, 1);
}

BOOST_AUTO_TEST_CASE(go_on_after_a_conflict_with_what_is_there_now)
{
  fake_store store;
  started_node node(store, kStart, kStartOfDay);
  store.Set("{\"written_at\":0,\"requests\":[]}");
  for (int end = 0; end < crash_suspect::kEndsToRefuse; ++end) {
    node.EndServer();
  }
  node.Watch();
  node.Wait(kLongestDelay);
  BOOST_CHECK(store.mObject->body.find("inventory") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(remove_a_request_that_the_operator_lifted)
{
  fake_store store;
  started_node node = NodeWithVerdict(store);
  node.Watch();
  node.Feed(refusal_lifted{ kDeadly });
  node.Step();
  const started_node next(store, node.Now(), node.UnixNow());
  BOOST_CHECK(!next.Refuses());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(replace_an_object_that_cannot_be_read)
{
  for (const char* odd : { "",
                           "[]",
                           "{\"written_at\":-1,\"requests\":[]}",
                           "{\"written_at\":0,\"requests\":[{}]}",
                           "{\"written_at\":0,\"requests\":[{\"fingerprint\":"
                           "\"x\",\"service\":\"\",\"target\":\"\","
                           "\"ends\":[]}]}" }) {
    fake_store store;
    store.Set(odd);
    const started_node node = NodeWithVerdict(store);
    const started_node next(store, node.Now(), node.UnixNow());
    BOOST_CHECK_MESSAGE(next.Refuses(), odd);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
