#include "sessions/leaving_callers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "plantaindale/load/history_checker.h"
#include "plantaindale/net/endpoint.h"

namespace plantaindale::sessions {
namespace {

using std::chrono::milliseconds;

constexpr int kKeys = 60;
constexpr int kMaxIntervalMs = 60; // between two requests
constexpr int kMaxStayMs = 500;    // of a caller
constexpr int kMaxWorkMs = 250;
constexpr std::size_t kUploadBytes = 20'000;

// -1 if nothing listens there.
int
Connect(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  // A child process that is started meanwhile would keep the connection open.
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint->port());
  inet_pton(
    AF_INET, endpoint->address().to_string().c_str(), &address.sin_addr);
  if (connect(connection,
              reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    return connection;
  }
  close(connection);
  return -1;
}

void
Reset(int aConnection)
{
  const linger at_once{ 1, 0 };
  setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(aConnection);
}

} // namespace

leaving_callers::leaving_callers(std::vector<std::string> aAddresses,
                                 std::uint64_t aSeed)
  : mAddresses(std::move(aAddresses))
  , mRandom(aSeed)
{
}

int
leaving_callers::RandomUpTo(int aUpperBound)
{
  return std::uniform_int_distribution<int>(0, aUpperBound)(mRandom);
}

void
leaving_callers::Run()
{
  instant next = boot_clock::now();
  while (!mIsEnding) {
    const instant now = boot_clock::now();
    LeaveDue(now);
    if (now >= next) {
      SendNext();
      next = now + milliseconds(RandomUpTo(kMaxIntervalMs));
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  LeaveDue(instant::max());
}

void
leaving_callers::SendNext()
{
  const int node = RandomUpTo(static_cast<int>(mAddresses.size()) - 1);
  const int key = RandomUpTo(kKeys - 1);
  const int work = RandomUpTo(kMaxWorkMs);
  const bool is_upload = RandomUpTo(2) == 0;
  const milliseconds stay(RandomUpTo(kMaxStayMs));
  const std::string& address = mAddresses[static_cast<std::size_t>(node)];
  const int connection = Connect(address);
  if (connection < 0) {
    return;
  }
  const std::size_t body_bytes = is_upload ? kUploadBytes : 0;
  const std::string tag = absl::StrCat("leaver-", mLeft.size() + mOpen.size());
  const std::string bytes = absl::StrCat(is_upload ? "POST" : "GET",
                                         " /board/k",
                                         key,
                                         " HTTP/1.1\r\nHost: a\r\nX-Tag: ",
                                         tag,
                                         "\r\nX-Work-Ms: ",
                                         work,
                                         "\r\nContent-Length: ",
                                         body_bytes,
                                         "\r\n\r\n",
                                         std::string(body_bytes, 'x'));
  send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  const instant now = boot_clock::now();
  mOpen.push_back({ connection, tag, address, now, now + stay });
}

void
leaving_callers::LeaveDue(instant aNow)
{
  std::erase_if(mOpen, [&](sent_request& aOne) {
    if (aOne.mLeavesAt > aNow) {
      return false;
    }
    if (RandomUpTo(1) == 0) {
      Reset(aOne.mConnection);
    } else {
      close(aOne.mConnection);
    }
    aOne.mLeavesAt = boot_clock::now();
    mLeft[aOne.mTag] = aOne;
    return true;
  });
}

std::vector<leaving_callers::late_run>
leaving_callers::LateRuns(const std::vector<run_log_entry>& aRuns) const
{
  std::vector<late_run> late;
  for (const run_log_entry& run : aRuns) {
    const auto found = mLeft.find(run.mTag);
    if (run.mEventName != "begin" || found == mLeft.end()) {
      continue;
    }
    const sent_request& sent = found->second;
    if (run.mTimeUs > ToMicros(sent.mLeavesAt + kLateAfter)) {
      late.push_back({ &run, sent.mNode, sent.mSentAt, sent.mLeavesAt });
    }
  }
  return late;
}

} // namespace plantaindale::sessions
