// The platform stand-in: serves the object API described in http_object_store.h
// from memory, counts calls and injects faults.
//
//   platform_stand_in 127.0.0.1:7000
//
//   GET /stand-in/calls                       number of calls, by kind
//   PUT /stand-in/faults                      {"outage":bool, "delay_ms":n,
//                                              "lose_answers":n,
//                                              "silent":bool,
//                                              "copy":true,
//                                              "restore":true}
//   PUT /stand-in/objects/KIND/NAME           writes the body, whatever it is
//
// The last is what another program does that writes odd objects. // During an
// outage, every connection is closed without a response. Requests that arrive
// while the store is silent, or wait for a response when that begins, have no
// effect and get no response, also not afterwards. `copy` keeps a copy of all
// objects, and `restore` returns to it, in a new era. With `lose_answers`, the
// next n writes take effect, but their connections are closed without a
// response. A long-polling watch counts as one call.
#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/http_server.h"
#include "plantaindale/store/http_object_store.h"
#include "stand_ins/platform/store.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale::stand_ins {
namespace {

namespace json = boost::json;

struct fault_settings
{
  bool mOutage = false;
  std::int64_t mDelayMs = 0;
  std::int64_t mLoseAnswers = 0;
  bool mIsSilent = false;
};

// Longer than any client waits.
constexpr std::chrono::seconds kSilentTime{ 30 };

struct call_counts
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mWatches = 0;
  std::int64_t mConflicts = 0;
};

class platform
{
public:
  http_response Handle(const http_server_request& aRequest)
  {
    if (aRequest.Path().starts_with("/stand-in/")) {
      return HandleControl(aRequest);
    }
    if (mFaults.mDelayMs > 0) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(mFaults.mDelayMs));
    }
    if (mFaults.mOutage) {
      return {};
    }
    const int silences = mSilences;
    http_response answer =
      mFaults.mIsSilent ? http_response{} : HandleObjects(aRequest);
    if (mFaults.mIsSilent || mSilences != silences) {
      boost::this_fiber::sleep_for(kSilentTime);
      return {};
    }
    return mFaults.mOutage ? http_response{} : answer;
  }

private:
  http_response HandleControl(const http_server_request& aRequest)
  {
    if (aRequest.Path() == "/stand-in/calls") {
      return { 200,
               json::serialize(
                 json::object{ { "reads", mCalls.mReads },
                               { "writes", mCalls.mWrites },
                               { "watches", mCalls.mWatches },
                               { "conflicts", mCalls.mConflicts } }) };
    }
    const std::vector<std::string> parts =
      absl::StrSplit(std::string(aRequest.Path().substr(1)), '/');
    if (parts.size() == 4 && parts[1] == "objects") {
      mStore.WriteUnchecked(parts[2], parts[3], aRequest.mBody);
      mChanged.notify_all();
      return { 200, "{}" };
    }
    const json::value body = json::parse(aRequest.mBody);
    const json::object& faults = body.as_object();
    if (const auto* outage = faults.if_contains("outage")) {
      mFaults.mOutage = outage->as_bool();
    }
    if (const auto* delay = faults.if_contains("delay_ms")) {
      mFaults.mDelayMs = delay->to_number<std::int64_t>();
    }
    if (const auto* lose = faults.if_contains("lose_answers")) {
      mFaults.mLoseAnswers = lose->to_number<std::int64_t>();
    }
    if (const auto* silent = faults.if_contains("silent")) {
      mFaults.mIsSilent = silent->as_bool();
      mSilences += mFaults.mIsSilent ? 1 : 0;
    }
    if (faults.contains("copy")) {
      mCopy = mStore;
    }
    if (faults.contains("restore")) {
      mStore.Restore(mCopy);
      mChanged.notify_all();
    }
    return { 200, "{}" };
  }

  http_response HandleObjects(const http_server_request& aRequest)
  {
    const std::vector<std::string> parts =
      absl::StrSplit(std::string(aRequest.Path().substr(1)), '/');
    if (parts[0] == "watch") {
      return Watch(aRequest);
    }
    if (parts[0] != "objects") {
      return { 404, "{}" };
    }
    if (aRequest.mMethod == "PUT" && parts.size() == 3) {
      return Write(aRequest, parts[1], parts[2]);
    }
    ++mCalls.mReads;
    if (parts.size() == 1) {
      return { 200, Serialize(mStore.ChangesAfter(0)) };
    }
    const stored_object* object =
      parts.size() == 3 ? mStore.Find(parts[1], parts[2]) : nullptr;
    if (object == nullptr) {
      return { 404, "{}" };
    }
    return { 200, Serialize(*object) };
  }

  http_response Write(const http_server_request& aRequest,
                      const std::string& aKind,
                      const std::string& aName)
  {
    ++mCalls.mWrites;
    conditional_write write{ aKind, aName, 0, aRequest.mBody };
    if (!absl::SimpleAtoi(std::string(aRequest.Query("base")),
                          &write.mBaseRevision)) {
      return { 400, "{\"error\":\"base must be a revision\"}" };
    }
    auto written = mStore.Write(write);
    if (absl::IsAborted(written.status())) {
      ++mCalls.mConflicts;
      return { 409, std::string(written.status().message()) };
    }
    if (!written.ok()) {
      return { 400, std::string(written.status().message()) };
    }
    mChanged.notify_all();
    if (mFaults.mLoseAnswers > 0) {
      --mFaults.mLoseAnswers;
      return {};
    }
    return { 200, Serialize(*written) };
  }

  http_response Watch(const http_server_request& aRequest)
  {
    ++mCalls.mWatches;
    std::int64_t after = 0;
    std::int64_t wait_ms = 0;
    if (!absl::SimpleAtoi(std::string(aRequest.Query("after")), &after) ||
        !absl::SimpleAtoi(std::string(aRequest.Query("wait_ms")), &wait_ms)) {
      return { 400, "{\"error\":\"after and wait_ms must be numbers\"}" };
    }
    if (after > mStore.Revision()) {
      return { 410, "{}" };
    }
    std::unique_lock<boost::fibers::mutex> lock(mMutex);
    mChanged.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
      return mStore.Revision() > after || mFaults.mOutage;
    });
    return { 200, Serialize(mStore.ChangesAfter(after)) };
  }

  store mStore;
  store mCopy;
  fault_settings mFaults;
  int mSilences = 0; // that have begun
  call_counts mCalls;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

int
Run(const char* aAddress)
{
  boost::asio::io_context context(1);
  InstallFiberScheduler(context);
  platform service;
  http_server server(context, [&](const http_server_request& aRequest) {
    try {
      return service.Handle(aRequest);
    } catch (const std::exception& error) {
      return http_response{
        400, absl::StrCat("{\"error\":\"", error.what(), "\"}")
      };
    }
  });
  if (absl::Status listening = server.Listen(aAddress); !listening.ok()) {
    std::cerr << listening.message() << "\n";
    return 1;
  }
  for (;;) {
    boost::this_fiber::sleep_for(std::chrono::hours(1));
  }
}

} // namespace
} // namespace plantaindale::stand_ins

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: platform_stand_in IP:PORT\n";
    return 2;
  }
  return plantaindale::stand_ins::Run(argv[1]);
}
