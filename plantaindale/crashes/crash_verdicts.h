// crash_verdicts says which requests must not run because backend servers have
// ended under them. An immutable value, published by the control thread and
// read by the traffic thread.
//
//   if (routing_state.CrashVerdicts()->IsRefused(fingerprint)) { ... }
#pragma once

#include <map>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/crashes/request_fingerprint.h"

namespace plantaindale {

class crash_verdicts
{
public:
  struct standing
  {
    int mEnds = 0; // of backend servers that count against the request
    // Until then it is refused; kNever: it may run.
    instant mRefusedUntil = kNever;

    bool operator==(const standing&) const = default;
  };
  using standing_map = std::map<request_fingerprint, standing>;

  crash_verdicts() = default;
  explicit crash_verdicts(standing_map aStandings)
    : mStandings(std::move(aStandings))
  {
  }

  // Null unless a backend server has ended under the request.
  const standing* Find(const request_fingerprint& aFingerprint) const
  {
    const auto found = mStandings.find(aFingerprint);
    return found == mStandings.end() ? nullptr : &found->second;
  }
  bool IsRefused(const request_fingerprint& aFingerprint, instant aNow) const
  {
    const standing* found = Find(aFingerprint);
    return found != nullptr && aNow < found->mRefusedUntil;
  }
  const standing_map& Standings() const { return mStandings; }

private:
  standing_map mStandings;
};

} // namespace plantaindale
