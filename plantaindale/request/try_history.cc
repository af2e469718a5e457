#include "plantaindale/request/try_history.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

void
try_history::Add(const request_result& aTry)
{
  ++mTries;
  mSent += aTry.mWasSent ? 1 : 0;
  if (!mIsDescribed || mTries > kMaxDescribedTries) {
    return;
  }
  absl::StrAppend(&mText,
                  mText.empty() ? "" : "; ",
                  mTries,
                  ": ",
                  aTry.mPeer.empty() ? "-" : aTry.mPeer,
                  " ",
                  aTry.mStep,
                  " ");
  mText += ToText(aTry.mKind);
  absl::StrAppend(&mText, aTry.mWasSent ? " sent " : " ", aTry.mReason);
}

void
try_history::LogPromise(const protocol::request_head& aHead,
                        const request_result& aEnd) const
{
  const bool is_promise = aEnd.mKind == outcome_kind::not_run && mSent > 0;
  if (!mIsDescribed || !is_promise) {
    return;
  }
  log_event("not_run_promised")
    .With("request", aHead.attempt_id)
    .With("service", aHead.service_name)
    .With("step", aEnd.mStep)
    .With("peer", aEnd.mPeer)
    .With("tries", mTries)
    .With("sent", mSent)
    .With("each", mText);
}

} // namespace plantaindale
