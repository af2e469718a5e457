#include "plantaindale/load/load_runner.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <span>
#include <thread>

#include "absl/strings/str_cat.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/frame_stream.h"
#include "plantaindale/net/http_input.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/request/http_header_names.h"
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

const http_header_names kHeaderNames; // default names

namespace http = boost::beast::http;

constexpr duration kAnswerGrace = std::chrono::seconds(2);

// Draws keys from a Zipf distribution. Reshuffle assigns the popularity ranks
// to other keys.
class key_generator
{
public:
  explicit key_generator(const load_settings& aSettings)
    : mRandom(aSettings.mSeed)
    , mOrder(static_cast<std::size_t>(aSettings.mKeys))
  {
    std::vector<double> weights;
    for (int rank = 1; rank <= aSettings.mKeys; ++rank) {
      weights.push_back(1 / std::pow(rank, aSettings.mZipfExponent));
      mOrder[static_cast<std::size_t>(rank - 1)] = rank;
    }
    mRanks =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    std::shuffle(mOrder.begin(), mOrder.end(), mRandom);
  }

  std::string NextKey() { return absl::StrCat("k", mOrder[mRanks(mRandom)]); }
  void Reshuffle() { std::shuffle(mOrder.begin(), mOrder.end(), mRandom); }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }
  std::size_t UniformBelow(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(mRandom);
  }

private:
  std::mt19937_64 mRandom;
  std::vector<int> mOrder;
  std::discrete_distribution<std::size_t> mRanks;
};

// Requests that are waiting for a free connection.
struct request_queue
{
  std::deque<request_record> mRequests;
  bool mIsClosed = false;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

} // namespace

// Sends batches of requests to one node at a time. Reuses its connection while
// consecutive batches go to the same node.
class load_runner::caller
{
public:
  caller(boost::asio::io_context& aContext, const load_settings& aSettings)
    : mContext(aContext)
    , mSettings(aSettings)
  {
  }

  // Sends the requests at once, to the node of the first, and receives the
  // responses. Behind a response that ends the connection there is none.
  void Send(std::span<request_record> aRecords)
  {
    const std::string node = aRecords.front().mNodeAddress;
    mDeadline = boot_clock::now() + mSettings.mDeadline + kAnswerGrace;
    const bool is_connected = Connect(node, mDeadline);
    const std::string fault = is_connected ? Write(aRecords) : "connect";
    mIsReusable = fault.empty();
    for (request_record& record : aRecords) {
      record.mNodeAddress = node;
      if (mIsReusable) {
        record.mOutcome = Receive(record);
      } else {
        record.mDetail = fault.empty() ? "the connection has ended" : fault;
        record.mOutcome =
          is_connected ? observed_outcome::kUnknown : observed_outcome::kNotRun;
      }
      record.mCompletedAt = boot_clock::now();
    }
    if (!mIsReusable) {
      mStream.reset();
    }
  }

private:
  bool Connect(const std::string& aEntry, instant aDeadline)
  {
    if (mStream != nullptr && mIsReusable && mNodeAddress == aEntry) {
      return true;
    }
    mNodeAddress = aEntry;
    mInput.Clear();
    mStream = std::make_unique<tcp_stream>(mContext);
    const auto endpoint = ParseEndpoint(aEntry);
    if (!endpoint.ok()) {
      return false;
    }
    ExpireAt(*mStream, aDeadline);
    const io_result connected = AwaitIo([&](auto aHandler) {
      mStream->async_connect(*endpoint, std::move(aHandler));
    });
    boost::system::error_code ignored;
    mStream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    return !connected.mError;
  }

  http::request<http::string_body> MakeRequest(
    const request_record& aRecord) const
  {
    http::request<http::string_body> request;
    request.method_string(aRecord.mMethod);
    std::string target = mSettings.mPathPrefix + aRecord.mKey;
    if (aRecord.mMethod == "GET" && mSettings.mAnswerBytes > 0) {
      absl::StrAppend(&target, "?bytes=", mSettings.mAnswerBytes);
    }
    request.target(target);
    request.set(http::field::host, aRecord.mNodeAddress);
    request.set("X-Tag", aRecord.mTag);
    request.set(
      kHeaderNames.mDeadlineRemaining,
      absl::StrCat(mSettings.mDeadline / std::chrono::milliseconds(1)));
    if (mSettings.mWorkMs > 0) {
      request.set("X-Work-Ms", absl::StrCat(mSettings.mWorkMs));
    }
    if (aRecord.mMethod == "POST") {
      request.body().assign(static_cast<std::size_t>(mSettings.mBodyBytes),
                            'x');
    }
    request.prepare_payload();
    return request;
  }

  // Returns why sending failed; empty if it did not.
  std::string Write(std::span<const request_record> aRecords)
  {
    for (const request_record& record : aRecords) {
      const auto request = MakeRequest(record);
      ExpireAt(*mStream, mDeadline);
      const io_result sent = AwaitIo([&](auto aHandler) {
        http::async_write(*mStream, request, std::move(aHandler));
      });
      if (sent.mError) {
        return "send: " + sent.mError.message();
      }
    }
    return "";
  }

  observed_outcome Receive(request_record& aRecord)
  {
    mIsReusable = false;
    ExpireAt(*mStream, mDeadline);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const io_result head = mInput.ReadHead(*mStream, parser);
    if (head.mError) {
      aRecord.mDetail = "receive: " + head.mError.message();
      return observed_outcome::kUnknown;
    }
    const io_result read = mInput.ReadAll(*mStream, parser);
    if (read.mError) {
      aRecord.mDetail = "receive_body: " + read.mError.message();
      return observed_outcome::kBroken;
    }
    mIsReusable = parser.keep_alive();
    const auto& answer = parser.get();
    if (answer.result() != http::status::ok) {
      aRecord.mDetail = answer.body();
      const bool was_not_run = answer[kHeaderNames.mOutcome] == "not-run";
      return was_not_run ? observed_outcome::kNotRun
                         : observed_outcome::kUnknown;
    }
    if (mSettings.mAnswerBytes > 0 && aRecord.mMethod == "GET") {
      const auto expected_bytes =
        static_cast<std::size_t>(mSettings.mAnswerBytes);
      return answer.body().size() == expected_bytes
               ? observed_outcome::kAnswered
               : observed_outcome::kMismatched;
    }
    const std::string expected_tag = "\"tag\":\"" + aRecord.mTag + "\"";
    const bool tag_matches =
      answer.body().find(expected_tag) != std::string::npos;
    return tag_matches ? observed_outcome::kAnswered
                       : observed_outcome::kMismatched;
  }

  boost::asio::io_context& mContext;
  const load_settings& mSettings;
  std::unique_ptr<tcp_stream> mStream;
  std::string mNodeAddress;
  bool mIsReusable = false;
  instant mDeadline; // of the responses to the batch
  http_input mInput;
};

load_runner::load_runner(load_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

std::vector<request_record>
load_runner::TakeBatch(std::deque<request_record>& aWaiting) const
{
  std::vector<request_record> batch;
  do {
    batch.push_back(std::move(aWaiting.front()));
    aWaiting.pop_front();
  } while (!aWaiting.empty() &&
           static_cast<int>(batch.size()) < mSettings.mPipelined &&
           batch.front().mMethod == "GET" && aWaiting.front().mMethod == "GET");
  return batch;
}

std::vector<request_record>
load_runner::Run()
{
  std::vector<request_record> records;
  boost::asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    request_queue queue;
    std::vector<boost::fibers::fiber> workers;
    const auto worker = [&] {
      caller client(context, mSettings);
      std::unique_lock<boost::fibers::mutex> lock(queue.mMutex);
      for (;;) {
        queue.mChanged.wait(
          lock, [&] { return !queue.mRequests.empty() || queue.mIsClosed; });
        if (queue.mRequests.empty()) {
          return;
        }
        std::vector<request_record> batch = TakeBatch(queue.mRequests);
        lock.unlock();
        client.Send(batch);
        for (request_record& record : batch) {
          ++mEnded;
          mAnswered += record.mOutcome == observed_outcome::kAnswered ? 1 : 0;
          records.push_back(std::move(record));
        }
        lock.lock();
      }
    };
    for (int i = 0; i < mSettings.mMaxConnections; ++i) {
      workers.emplace_back(worker);
    }
    key_generator keys(mSettings);
    const instant start = boot_clock::now();
    instant next_reshuffle = start + mSettings.mHotKeyInterval;
    std::int64_t sent = 0;
    while (boot_clock::now() < start + mSettings.mDuration && !mStopRequested) {
      const std::chrono::duration<double> elapsed = boot_clock::now() - start;
      const auto due =
        static_cast<std::int64_t>(elapsed.count() * mSettings.mRate);
      for (; sent < due; ++sent) {
        request_record record;
        record.mTag = absl::StrCat("t", mSettings.mSeed, "-", sent);
        record.mKey = keys.NextKey();
        record.mMethod = keys.Chance(mSettings.mPostFraction) ? "POST" : "GET";
        record.mNodeAddress =
          mSettings
            .mNodeAddresses[keys.UniformBelow(mSettings.mNodeAddresses.size())];
        record.mScheduledAt =
          start + duration(static_cast<std::int64_t>(static_cast<double>(sent) *
                                                     1e6 / mSettings.mRate));
        queue.mRequests.push_back(std::move(record));
        queue.mChanged.notify_one();
      }
      const bool reshuffle_due = mSettings.mHotKeyInterval.count() > 0 &&
                                 boot_clock::now() >= next_reshuffle;
      if (reshuffle_due) {
        next_reshuffle += mSettings.mHotKeyInterval;
        keys.Reshuffle();
      }
      boost::this_fiber::sleep_for(std::chrono::microseconds(500));
    }
    queue.mIsClosed = true;
    queue.mChanged.notify_all();
    for (boost::fibers::fiber& fiber : workers) {
      fiber.join();
    }
  }).join();
  return records;
}

std::string_view
ToText(observed_outcome aOutcome)
{
  constexpr std::string_view kNames[] = {
    "answered", "not_run", "unknown", "broken", "crossed"
  };
  return kNames[static_cast<std::size_t>(aOutcome)];
}

} // namespace plantaindale
