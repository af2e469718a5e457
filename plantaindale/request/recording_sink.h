// recording_sink forwards a response and records a copy of it for the
// idempotency_window, unless its body is larger than kMaxRecordedBodyBytes.
//
//   recording_sink recorder(sink);
//   const request_result result = client.Run(..., recorder, ...);
//   window.Finish(key, recorder.Take(result));
#pragma once

#include "plantaindale/request/exchange.h"
#include "plantaindale/request/idempotency_window.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

class recording_sink : public response_sink
{
public:
  explicit recording_sink(response_sink& aNext)
    : mNext(aNext)
  {
  }

  absl::Status Ready() override { return mNext.Ready(); }

  absl::Status Head(const protocol::answer_head& aHead) override
  {
    mRecord.mHead = aHead;
    mRecord.mIsComplete = true;
    return mNext.Head(aHead);
  }

  absl::Status Body(std::span<const char> aBytes) override
  {
    const std::size_t size = mRecord.mBody.size() + aBytes.size();
    if (size > idempotency_window::kMaxRecordedBodyBytes) {
      mRecord.mIsComplete = false;
      mRecord.mBody.clear();
    } else if (mRecord.mIsComplete) {
      mRecord.mBody.append(aBytes.data(), aBytes.size());
    }
    return mNext.Body(aBytes);
  }

  recorded_outcome Take(const request_result& aResult)
  {
    mRecord.mResult = aResult;
    return std::move(mRecord);
  }

private:
  response_sink& mNext;
  recorded_outcome mRecord;
};

} // namespace plantaindale
