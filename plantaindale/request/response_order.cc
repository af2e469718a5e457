#include "plantaindale/request/response_order.h"

namespace plantaindale {

response_order::response_order(look_ahead_budget& aBudget)
  : mBudget(aBudget)
{
}

response_order::~response_order()
{
  while (Outstanding() > 0) {
    Finish(mFirst);
  }
}

bool
response_order::MayAdd(bool aMayOverlap) const
{
  if (mIsClosed || Outstanding() == 0) {
    return !mIsClosed;
  }
  return aMayOverlap && !mIsLastExclusive && !mIsSending &&
         Outstanding() < kMaxOutstanding && mHeldInAll < kMaxHeldBytes &&
         mBudget.mRequestsLeft > 0 && mBudget.mBytesLeft > kMaxFirstBytes;
}

std::int64_t
response_order::Add(bool aMayOverlap)
{
  mBudget.mRequestsLeft -= Outstanding() > 0 ? 1 : 0;
  mIsLastExclusive = !aMayOverlap;
  return mNext++;
}

void
response_order::Finish(std::int64_t aNumber)
{
  ReleaseBytes(aNumber);
  mIsSending = false;
  ++mFirst;
  // The next request, if any, no longer waits behind another.
  mBudget.mRequestsLeft += Outstanding() > 0 ? 1 : 0;
}

bool
response_order::TryHold(std::int64_t aNumber, std::size_t aBytes)
{
  const std::size_t limit =
    kMaxHeldBytes + (IsTurn(aNumber) ? kMaxFirstBytes : 0);
  const bool has_room =
    mHeldInAll + aBytes <= limit && aBytes <= mBudget.mBytesLeft;
  if (!has_room) {
    return false;
  }
  mHeldBytes[aNumber] += aBytes;
  mHeldInAll += aBytes;
  mBudget.mBytesLeft -= aBytes;
  return true;
}

void
response_order::ReleaseBytes(std::int64_t aNumber)
{
  const auto held = mHeldBytes.find(aNumber);
  if (held != mHeldBytes.end()) {
    mHeldInAll -= held->second;
    mBudget.mBytesLeft += held->second;
    mHeldBytes.erase(held);
  }
}

} // namespace plantaindale
