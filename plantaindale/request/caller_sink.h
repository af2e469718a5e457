// caller_sink passes an answer to a caller. A small answer leaves in one piece.
#pragma once

#include <optional>
#include <utility>

#include "plantaindale/request/caller_body.h"
#include "plantaindale/request/http_fields.h"
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace plantaindale {

// Belongs to the fiber of its connection.
class caller_sink : public response_sink
{
public:
  caller_sink(tcp_stream& aStream,
              const caller_parser& aParser,
              bool aKeepAlive)
    : mStream(aStream)
    , mKeepAlive(aKeepAlive)
    , mIsHead(aParser.get().method() == http::verb::head)
    , mExpectsContinue(boost::beast::iequals(aParser.get()[http::field::expect],
                                             "100-continue"))
  {
  }

  absl::Status Ready() override
  {
    if (!std::exchange(mExpectsContinue, false)) {
      return absl::OkStatus();
    }
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    ExpireAt(mStream, boot_clock::now() + kCallerIoTimeout);
    return ToStatus(AwaitIo([&](auto aHandler) {
      http::async_write(mStream, continue_response, std::move(aHandler));
    }));
  }

  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mHasBegun = true;
    mAnswer.result(static_cast<unsigned>(aHead.status));
    mAnswer.version(11);
    AddFields(aHead.fields, mAnswer);
    mAnswer.keep_alive(mKeepAlive);
    if (aHead.body_bytes >= 0) {
      mAnswer.content_length(static_cast<std::uint64_t>(aHead.body_bytes));
    } else if (!mIsHead && MayHaveBody(aHead.status)) {
      mAnswer.chunked(true);
    }
    mSerializer.emplace(mAnswer);
    return absl::OkStatus();
  }

  absl::Status Body(std::span<const char> aBytes) override
  {
    // The library takes a pointer to what it only reads.
    mAnswer.body().data = const_cast<char*>(aBytes.data());
    mAnswer.body().size = aBytes.size();
    mAnswer.body().more = true;
    return Write();
  }

  // The answer is whole: sends what is left of it.
  absl::Status Finish()
  {
    if (mSerializer->is_done()) {
      return absl::OkStatus();
    }
    mAnswer.body().data = nullptr;
    mAnswer.body().size = 0;
    mAnswer.body().more = false;
    return Write();
  }

  bool HasBegun() const { return mHasBegun; }

private:
  static bool MayHaveBody(int aStatus)
  {
    return aStatus >= 200 && aStatus != 204 && aStatus != 304;
  }

  absl::Status Write()
  {
    ExpireAt(mStream, boot_clock::now() + kCallerIoTimeout);
    io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(mStream, *mSerializer, std::move(aHandler));
    });
    if (written.mError == http::error::need_buffer) {
      written.mError = {};
    }
    return ToStatus(written);
  }

  static absl::Status ToStatus(const io_result& aResult)
  {
    if (!aResult.mError) {
      return absl::OkStatus();
    }
    return MakeError(absl::StatusCode::kUnavailable,
                     "answer",
                     "caller",
                     aResult.mError.message());
  }

  tcp_stream& mStream;
  bool mKeepAlive;
  bool mIsHead;
  bool mExpectsContinue;
  bool mHasBegun = false;
  http::response<http::buffer_body> mAnswer;
  std::optional<http::response_serializer<http::buffer_body>> mSerializer;
};

} // namespace plantaindale
