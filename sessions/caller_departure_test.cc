// Callers that close their connections while their requests wait for a slot of
// a backend server.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "absl/strings/str_cat.h"
#include "plantaindale/load/history_checker.h"
#include "sessions/process_cluster.h"
#include "sessions/test_connection.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 6;
constexpr int kLeaving = 12;
// Until the slots of the server are free again.
constexpr milliseconds kHeldTime{ 1400 };

enum class leave_by
{
  kClose,
  kReset
};

void
Leave(int aConnection, leave_by aWay)
{
  if (aWay == leave_by::kReset) {
    const linger at_once{ 1, 0 };
    setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  close(aConnection);
}

std::string
Request(std::string_view aMethod,
        const std::string& aKey,
        std::string_view aTag,
        std::string_view aFields,
        std::size_t aBodyBytes = 0)
{
  return absl::StrCat(std::string(aMethod),
                      " /board/",
                      aKey,
                      " HTTP/1.1\r\nHost: a\r\nX-Tag: ",
                      std::string(aTag),
                      "\r\n",
                      std::string(aFields),
                      "Content-Length: ",
                      aBodyBytes,
                      "\r\n\r\n",
                      std::string(aBodyBytes, 'x'));
}

void
Write(int aConnection, const std::string& aBytes)
{
  BOOST_REQUIRE_EQUAL(
    send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
    static_cast<ssize_t>(aBytes.size()));
}

// A backend server whose slots are all held, and callers at another node whose
// requests wait for it.
class busy_server
{
public:
  explicit busy_server(int aBasePort)
    : mCluster([&] {
      process_cluster_settings settings = MakeTestSettings(aBasePort);
      settings.mNodes = 3;
      settings.mSlots = kSlots;
      return settings;
    }())
  {
    BOOST_REQUIRE(mCluster.AwaitServed());
    mKeys = mCluster.KeysOf(1, 200);
    BOOST_REQUIRE_GE(mKeys.size(), static_cast<std::size_t>(kLeaving));
  }
  busy_server(const busy_server&) = delete;
  busy_server& operator=(const busy_server&) = delete;
  ~busy_server()
  {
    for (const int connection : mHolders) {
      close(connection);
    }
  }

  void HoldSlots()
  {
    const std::string work =
      absl::StrCat("X-Work-Ms: ", kHeldTime.count(), "\r\n");
    for (int i = 0; i < kSlots; ++i) {
      mHolders.push_back(ConnectTo(mCluster.CallerAddresses()[1]));
      Write(mHolders.back(), Request("GET", mKeys[i], "holder", work));
    }
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_REQUIRE_EQUAL(Count("begin", "holder"), kSlots);
  }

  // Connections that have each served a request.
  void ConnectKept()
  {
    for (int i = 0; i < kLeaving; ++i) {
      mLeaving.push_back(ConnectTo(mCluster.CallerAddresses()[0]));
      Write(mLeaving.back(), Request("GET", mKeys[i], "earlier", ""));
      char answer[4096];
      BOOST_REQUIRE_GT(read(mLeaving.back(), answer, sizeof(answer)), 0);
    }
  }

  void SendLeaving(std::string_view aMethod, std::size_t aBodyBytes = 0)
  {
    for (int i = 0; i < kLeaving; ++i) {
      if (static_cast<int>(mLeaving.size()) == i) {
        mLeaving.push_back(ConnectTo(mCluster.CallerAddresses()[0]));
      }
      Write(mLeaving[i], Request(aMethod, mKeys[i], "left", "", aBodyBytes));
    }
  }

  void LeaveAfter(milliseconds aTime, leave_by aWay = leave_by::kClose)
  {
    std::this_thread::sleep_for(aTime);
    for (const int connection : mLeaving) {
      Leave(connection, aWay);
    }
    mLeaving.clear();
  }

  // The node where the callers' requests enter stands still.
  void Freeze() { mCluster.FreezeNode(0); }
  void Unfreeze() { mCluster.Unfreeze(0); }

  void CheckThatNoneHasRun()
  {
    std::this_thread::sleep_for(2 * kHeldTime);
    BOOST_CHECK_EQUAL(Count("begin", "left"), 0);
  }
  // A close behind more than the receive window reaches the node only when it
  // reads the body, which it passes on meanwhile.
  void CheckThatNoneHasEnded()
  {
    std::this_thread::sleep_for(2 * kHeldTime);
    BOOST_CHECK_EQUAL(Count("end", "left"), 0);
    BOOST_CHECK_EQUAL(Count("cut", "left"), Count("begin", "left"));
  }

private:
  std::ptrdiff_t Count(std::string_view aEvent, std::string_view aTag) const
  {
    const auto runs = ReadRunLog(mCluster.RunLog());
    return std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
      return aRun.mEventName == aEvent && aRun.mTag == aTag;
    });
  }

  process_cluster mCluster;
  std::vector<std::string> mKeys; // of the node with the busy server
  std::vector<int> mHolders;
  std::vector<int> mLeaving;
};

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(requests_of_callers_that_left)

BOOST_AUTO_TEST_SUITE(a_node_that_read_them_late)

void
CheckLateRead(int aBasePort, bool aIsKept, leave_by aWay)
{
  busy_server server(aBasePort);
  if (aIsKept) {
    server.ConnectKept();
  }
  server.HoldSlots();
  server.Freeze();
  server.SendLeaving("GET");
  std::this_thread::sleep_for(milliseconds(190));
  server.Unfreeze();
  server.LeaveAfter(milliseconds(15), aWay);
  server.CheckThatNoneHasRun();
}

BOOST_AUTO_TEST_CASE(are_not_run_on_new_connections)
{
  CheckLateRead(25400, false, leave_by::kClose);
}

BOOST_AUTO_TEST_CASE(are_not_run_on_kept_connections)
{
  CheckLateRead(25450, true, leave_by::kClose);
}

BOOST_AUTO_TEST_CASE(are_not_run_after_a_reset)
{
  CheckLateRead(25500, true, leave_by::kReset);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(just_after_sending_them)

BOOST_AUTO_TEST_CASE(are_not_run_after_a_close)
{
  busy_server server(25550);
  server.HoldSlots();
  server.SendLeaving("GET");
  server.LeaveAfter(milliseconds(20));
  server.CheckThatNoneHasRun();
}

BOOST_AUTO_TEST_CASE(are_not_run_after_a_reset)
{
  busy_server server(25600);
  server.HoldSlots();
  server.SendLeaving("GET");
  server.LeaveAfter(milliseconds(20), leave_by::kReset);
  server.CheckThatNoneHasRun();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(during_uploads)

BOOST_AUTO_TEST_CASE(are_not_run_soon_after_the_body)
{
  busy_server server(25650);
  server.HoldSlots();
  server.SendLeaving("POST", 60'000);
  server.LeaveAfter(milliseconds(90));
  server.CheckThatNoneHasRun();
}

BOOST_AUTO_TEST_CASE(are_cut_off_behind_more_than_the_receive_window)
{
  busy_server server(25700);
  server.HoldSlots();
  server.SendLeaving("POST", 600'000);
  server.LeaveAfter(milliseconds(575));
  server.CheckThatNoneHasEnded();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
