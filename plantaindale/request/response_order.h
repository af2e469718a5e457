// response_order decides for one connection of a caller which of its pipelined
// requests (RFC 9112, section 9.3.2) may run side by side, whose response is
// sent next, and how many bytes of later responses are held in memory.
//
// It answers for callers that send further requests before the first one is
// answered, while a response may be slow and the ones behind it large.
//
//   const std::int64_t number = order.Add(true);
//   if (order.IsTurn(number)) { ... send the response ... order.Finish(number);
//   }
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace plantaindale {

// Shared by the connections of a process. Requests and responses count here
// only while they wait behind others on their connection.
struct look_ahead_budget
{
  int mRequestsLeft = 256;
  std::size_t mBytesLeft = 4 * 1024 * 1024;
};

// Not thread-safe. A value without network or clock.
class response_order
{
public:
  // Limits for one connection. A response that exceeds them waits for its turn
  // at its backend server.
  static constexpr int kMaxOutstanding = 32;
  static constexpr std::size_t kMaxHeldBytes = 256 * 1024;
  // The first response may be held beside these, as far as that goes: if it
  // breaks off before any of it was sent, the ones behind it can still be.
  static constexpr std::size_t kMaxFirstBytes = 128 * 1024;

  explicit response_order(look_ahead_budget& aBudget);
  response_order(const response_order&) = delete;
  response_order& operator=(const response_order&) = delete;
  ~response_order();

  // Commands.
  // Adds a request behind the outstanding ones and returns its number;
  // MayAdd(aMayOverlap) must hold. Only requests that may be repeated and have
  // no body may overlap with others.
  std::int64_t Add(bool aMayOverlap);
  // The first response is being sent: until its end it may break off the
  // connection, so no request is added behind it.
  void BeginSending() { mIsSending = true; }
  // The response was sent completely; it must have had its turn.
  void Finish(std::int64_t aNumber);
  // A response that ends the connection is being sent: no request is added any
  // more.
  void Close() { mIsClosed = true; }
  // Reserves memory for a part of a response that waits for its turn, or of the
  // first one while others wait behind it.
  bool TryHold(std::int64_t aNumber, std::size_t aBytes);

  // Queries.
  bool MayAdd(bool aMayOverlap) const;
  bool IsTurn(std::int64_t aNumber) const { return aNumber == mFirst; }
  bool IsClosed() const { return mIsClosed; }
  // Whether requests were added after this one.
  bool HasLater(std::int64_t aNumber) const { return aNumber + 1 < mNext; }
  int Outstanding() const { return static_cast<int>(mNext - mFirst); }

private:
  void ReleaseBytes(std::int64_t aNumber);

  look_ahead_budget& mBudget;
  std::int64_t mFirst = 0; // the oldest outstanding request
  std::int64_t mNext = 0;  // of the next request that is added
  bool mIsLastExclusive = false;
  bool mIsClosed = false;
  bool mIsSending = false;
  std::map<std::int64_t, std::size_t> mHeldBytes; // by request
  std::size_t mHeldInAll = 0;
};

} // namespace plantaindale
