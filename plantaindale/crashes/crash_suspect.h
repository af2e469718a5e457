// crash_suspect is what a node knows of one request under which backend servers
// have ended, and what follows from it. A value without network and clock.
//
//   crash_suspect suspect("inventory", "/stock/4256");
//   suspect.Add({ started_at, "i-81" }, { began, ended });
//   if (now < suspect.RefusedUntil()) { ... }
//
// An end counts if the run under it began after the previous counted end:
// servers that end at the same moment under a popular request count once, what
// ends server after server counts each time. A complete run clears all ends
// before it.
//
// Merging suspects of other nodes, by Add(), gives the same ends in any order.
// Their times are estimates: a transfer makes them later, so the earliest is
// kept.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/crashes/request_fingerprint.h"

namespace plantaindale {

class crash_suspect
{
public:
  // Counted ends from which the request is refused.
  static constexpr int kEndsToRefuse = 3;
  static constexpr std::size_t kMaxEnds = 16;
  // How long a request is refused; doubled by each further end.
  static constexpr duration kRefusalTime = std::chrono::minutes(10);
  static constexpr duration kMaxRefusalTime = std::chrono::hours(24);
  // How long one further end renews a refusal that has lapsed.
  static constexpr duration kProbationTime = std::chrono::hours(24);
  // How long ends that led to no refusal are remembered after the last one.
  static constexpr duration kSuspicionTime = std::chrono::minutes(2);
  // Upper bound of the error of times that other nodes have sent.
  static constexpr duration kTimeError = std::chrono::milliseconds(20);

  // One start of a backend server. The order is the same on all nodes.
  struct server_start
  {
    std::int64_t mStartedAt = 0; // Unix ms
    std::string mInstance;

    auto operator<=>(const server_start&) const = default;
  };
  struct interrupted
  {
    instant mBeganAt = kNever; // the run of the request
    instant mEndedAt = kNever; // the server
    bool mIsCleared = false;
  };
  using end_map = std::map<server_start, interrupted>;

  crash_suspect() = default;
  crash_suspect(std::string aService, std::string aTarget)
    : mService(std::move(aService))
    , mTarget(std::move(aTarget))
  {
  }

  // Commands.
  // Returns whether it is news. Of more than kMaxEnds, those of the servers
  // that started last are kept.
  bool Add(server_start aServer, interrupted aEnd);
  // The request has run to its end at `aNow`, or the operator says that it may.
  // Returns whether an end was not cleared before.
  bool Clear(instant aNow);

  // Queries.
  const std::string& Service() const { return mService; }
  const std::string& Target() const { return mTarget; }
  const end_map& Ends() const { return mEnds; }
  // The ends that count against the request.
  int CountedEnds() const;
  // kNever if it was never refused since it was cleared.
  instant RefusedUntil() const;
  instant LastEnd() const;
  // When to forget the suspect. Cleared ends are remembered as long as others,
  // so that nodes that return don't bring them back.
  instant RetainedUntil() const;
  // The same at nodes that know of the same ends and clearings.
  std::uint64_t Hash() const;

private:
  struct chain
  {
    int mCount = 0;
    instant mLastEnd = kNever;

    instant RefusedUntil() const;
  };
  enum class chain_members
  {
    kNotCleared,
    kAll
  };
  // The longest sequence of ends of which each run began after the end before.
  chain LongestChain(chain_members aMembers) const;

  std::string mService;
  std::string mTarget;
  end_map mEnds;
  instant mClearedAt = kNever; // by this node
};

} // namespace plantaindale
