// Real nodes whose callers read large responses slowly.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "bench/process_usage.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/load/history_checker.h"
#include "sessions/process_cluster.h"
#include "sessions/test_connection.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 3;
constexpr int kReaders = 200;
constexpr std::size_t kBodyBytes = 500'000;
constexpr double kMaxNodeMb = 64;

// The inodes of the sockets that the process holds.
std::set<std::string>
SocketsOf(pid_t aProcess)
{
  constexpr std::string_view kPrefix = "socket:[";
  std::set<std::string> inodes;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(
         absl::StrCat("/proc/", aProcess, "/fd"), error)) {
    const std::string target =
      std::filesystem::read_symlink(entry.path(), error).string();
    if (target.starts_with(kPrefix)) {
      inodes.insert(
        target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
    }
  }
  return inodes;
}

// Bytes that the kernel holds for the process: received and not read, or
// written and not acknowledged.
struct socket_bytes
{
  double mUnreadMb = 0;
  double mUnsentMb = 0;
};

socket_bytes
SocketBytesOf(pid_t aProcess)
{
  constexpr double kMb = 1024 * 1024;
  const std::set<std::string> inodes = SocketsOf(aProcess);
  std::ifstream table(absl::StrCat("/proc/", aProcess, "/net/tcp"));
  std::string line;
  socket_bytes bytes;
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::vector<std::string> fields;
    for (std::string word; words >> word;) {
      fields.push_back(word);
    }
    constexpr std::size_t kQueues = 4; // SENT:RECEIVED
    constexpr std::size_t kInode = 9;
    if (fields.size() > kInode && inodes.count(fields[kInode]) > 0) {
      const std::string& queues = fields[kQueues];
      const std::size_t colon = queues.find(':');
      bytes.mUnsentMb += std::stod("0x" + queues.substr(0, colon)) / kMb;
      bytes.mUnreadMb += std::stod("0x" + queues.substr(colon + 1)) / kMb;
    }
  }
  return bytes;
}

// A caller that reads a part at a time, whenever it is told to.
class slow_reader
{
public:
  slow_reader(const std::string& aAddress,
              const std::string& aTarget,
              int aDeadlineMs)
    : mSocket(ConnectTo(aAddress))
  {
    const int window = 16 * 1024;
    setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const std::string request =
      absl::StrCat("GET ",
                   aTarget,
                   " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Plantaindale-Deadline-Ms: ",
                   aDeadlineMs,
                   "\r\n\r\n");
    BOOST_REQUIRE_EQUAL(
      send(mSocket, request.data(), request.size(), MSG_NOSIGNAL),
      static_cast<ssize_t>(request.size()));
  }
  slow_reader(const slow_reader&) = delete;
  slow_reader& operator=(const slow_reader&) = delete;
  ~slow_reader() { close(mSocket); }

  void ReadPart()
  {
    char part[8 * 1024];
    const ssize_t got = recv(mSocket, part, sizeof(part), MSG_DONTWAIT);
    mHasEnded = got == 0 || (got < 0 && errno != EAGAIN);
    mBytes.append(part, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  }
  bool HasEnded() const { return mHasEnded; }
  // 0 without a success.
  std::size_t BodyBytes() const
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    const std::size_t head = mBytes.find(kHeadEnd);
    const bool is_success =
      mBytes.starts_with("HTTP/1.1 200") && head != std::string::npos;
    return is_success ? mBytes.size() - head - kHeadEnd.size() : 0;
  }
  bool IsWhole() const { return BodyBytes() == kBodyBytes; }

private:
  int mSocket;
  std::string mBytes;
  bool mHasEnded = false;
};

double
HeldMb(const process_cluster& aCluster)
{
  double most = 0;
  for (int node = 0; node < kNodes; ++node) {
    const pid_t process = aCluster.NodeProcess(node);
    const double resident = bench::UsageOf(process).mResidentMb;
    const socket_bytes held = SocketBytesOf(process);
    BOOST_TEST_MESSAGE("node " << node << ": resident " << resident
                               << " MB, unread " << held.mUnreadMb
                               << " MB, unsent " << held.mUnsentMb << " MB");
    most = std::max(most, resident + held.mUnreadMb + held.mUnsentMb);
  }
  return most;
}

// Requests of a caller that reads at once. Returns how many were answered, and
// sets the longest time that one took.
int
ServeOthers(const process_cluster& aCluster, int aCount, duration& aSlowest)
{
  int answered = 0;
  for (int i = 0; i < aCount; ++i) {
    const instant began = boot_clock::now();
    const int connection = ConnectTo(aCluster.CallerAddresses()[0]);
    const std::string request = absl::StrCat(
      "GET /board/k", i, " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    send(connection, request.data(), request.size(), MSG_NOSIGNAL);
    answered += ReadToEnd(connection).starts_with("HTTP/1.1 200") ? 1 : 0;
    aSlowest = std::max(aSlowest, duration(boot_clock::now() - began));
  }
  return answered;
}

process_cluster_settings
MakeSettings(int aBasePort)
{
  process_cluster_settings settings = MakeTestSettings(aBasePort);
  settings.mNodes = kNodes;
  settings.mShards = 0;
  settings.mSlots = kReaders;
  settings.mHasLargeResponses = true;
  return settings;
}

using readers = std::vector<std::unique_ptr<slow_reader>>;

readers
StartReaders(const process_cluster& aCluster, int aCount, int aDeadlineMs)
{
  readers started;
  for (int i = 0; i < aCount; ++i) {
    started.push_back(std::make_unique<slow_reader>(
      aCluster.CallerAddresses()[0],
      absl::StrCat("/board/k", i, "?bytes=", kBodyBytes),
      aDeadlineMs));
  }
  return started;
}

// Reads a part of each response in each round until all have ended.
void
ReadAll(const readers& aReaders, milliseconds aRound)
{
  const instant until = boot_clock::now() + std::chrono::seconds(20);
  const auto is_reading = [](const auto& aReader) {
    return !aReader->HasEnded();
  };
  while (boot_clock::now() < until &&
         std::any_of(aReaders.begin(), aReaders.end(), is_reading)) {
    for (const auto& reader : aReaders) {
      if (!reader->HasEnded()) {
        reader->ReadPart();
      }
    }
    std::this_thread::sleep_for(aRound);
  }
}

std::ptrdiff_t
WholeOf(const readers& aReaders)
{
  return std::count_if(aReaders.begin(),
                       aReaders.end(),
                       [](const auto& aReader) { return aReader->IsWhole(); });
}

BOOST_AUTO_TEST_SUITE(real_processes)
BOOST_AUTO_TEST_SUITE(slow_readers)

BOOST_AUTO_TEST_CASE(leave_a_node_its_memory_and_others_their_service)
{
  constexpr int kOthers = 50;
  process_cluster cluster(MakeSettings(25100));
  BOOST_REQUIRE(cluster.AwaitServed());
  const readers slow = StartReaders(cluster, kReaders, 15'000);
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_CHECK_LT(HeldMb(cluster), kMaxNodeMb);
  std::thread reading([&] { ReadAll(slow, milliseconds(30)); });
  duration slowest{ 0 };
  BOOST_CHECK_EQUAL(ServeOthers(cluster, kOthers, slowest), kOthers);
  BOOST_TEST_MESSAGE("slowest of others: " << slowest.count() << " us");
  BOOST_CHECK_LT(slowest.count(), 1'000'000);
  BOOST_CHECK_LT(HeldMb(cluster), kMaxNodeMb);
  reading.join();
  for (int node = 0; node < kNodes; ++node) {
    BOOST_CHECK_LT(bench::UsageOf(cluster.NodeProcess(node)).mPeakMb,
                   kMaxNodeMb);
  }
  BOOST_CHECK_EQUAL(WholeOf(slow), kReaders);
}

// Guards against ready responses that are cut because their callers pause, and
// against servers whose slots such callers keep.
BOOST_AUTO_TEST_CASE(that_pause_get_what_the_node_holds_after_their_deadline)
{
  constexpr int kFew = 8;
  process_cluster cluster(MakeSettings(25200));
  BOOST_REQUIRE(cluster.AwaitServed());
  const readers slow = StartReaders(cluster, kFew, 2000);
  std::this_thread::sleep_for(milliseconds(4000));
  ReadAll(slow, milliseconds(1));
  BOOST_CHECK_EQUAL(WholeOf(slow), kFew);
}

// Guards against a response that is continued with bytes of another try.
BOOST_AUTO_TEST_CASE(whose_response_breaks_off_get_no_bytes_of_another_try)
{
  constexpr std::size_t kLongBody = 32'000'000;
  process_cluster cluster(MakeSettings(25300));
  BOOST_REQUIRE(cluster.AwaitServed());
  readers slow;
  for (int i = 0; i < kNodes; ++i) {
    slow.push_back(std::make_unique<slow_reader>(
      cluster.CallerAddresses()[static_cast<std::size_t>(i)],
      absl::StrCat("/board/k?bytes=", kLongBody),
      15'000));
  }
  std::this_thread::sleep_for(milliseconds(500));
  for (int i = 0; i < kNodes; ++i) {
    cluster.KillServer(i);
  }
  ReadAll(slow, milliseconds(1));
  for (const auto& reader : slow) {
    BOOST_CHECK(reader->HasEnded());
    BOOST_CHECK_LT(reader->BodyBytes(), kLongBody);
  }
  const auto runs = ReadRunLog(cluster.RunLog());
  const auto begun =
    std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
      return aRun.mEventName == "begin";
    });
  BOOST_CHECK_EQUAL(begun, kNodes);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale::sessions
