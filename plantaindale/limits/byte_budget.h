// byte_budget shares a bounded amount of memory among the responses that a node
// holds for callers who read them slowly. It answers for many large responses
// at once, some of whose callers don't read for seconds: without a bound they
// take the memory of the process, and without a place for them they keep the
// slots of their servers, which cut them off.
//
// A response may grow while it holds less than a part of what is left. So a few
// get much, many get the same little, and something is always left for the
// next one. What gets no more stays at its server.
//
//   byte_budget::share share(budget);
//   if (share.TryTake(bytes)) { ... hold them ... share.Return(bytes); }
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantaindale {

// Single-threaded. A value without network or clock.
class byte_budget
{
public:
  // A response may hold one part in this many of what is left.
  static constexpr std::size_t kParts = 4;

  explicit byte_budget(std::size_t aBytes);

  // What one response holds; returned when it ends. Must not outlive the
  // budget.
  class share
  {
  public:
    explicit share(byte_budget& aBudget);
    share(const share&) = delete;
    share& operator=(const share&) = delete;
    ~share();

    // Commands.
    // False if the response holds its part already.
    bool TryTake(std::size_t aBytes);
    // Returns at most what it holds.
    void Return(std::size_t aBytes);

    // Queries.
    std::size_t Held() const { return mHeld; }
    const byte_budget& Budget() const { return mBudget; }

  private:
    byte_budget& mBudget;
    std::size_t mHeld = 0;
  };

  // Queries.
  std::size_t Held() const { return mHeld; }
  std::size_t MostHeld() const { return mMostHeld; }
  // How often a response got no more.
  std::int64_t Refusals() const { return mRefusals; }
  std::string ToPrometheus() const;

private:
  std::size_t mBytes;
  std::size_t mHeld = 0;
  std::size_t mMostHeld = 0;
  std::int64_t mRefusals = 0;
};

} // namespace plantaindale
