// call_admission decides which requests a node doesn't run because the calls
// that their runs make would find no room. It answers the load in which a
// called service is short: a run that ends because one of its calls was
// refused has cost its whole work, and the calls before that one as well.
//
//   call_admission admission;
//   const expected_call calls[] = { { "stock", 1.4 } };
//   if (auto shortage = admission.FindShortage({ priority, calls }, now)) {
//     ... the request is not run ...
//   }
//   admission.OnCallEnd("stock", call_end::kRefused, now);
//
// For each called service it keeps the share of the calls which new runs may
// make. The share falls to what was served when calls are refused, and grows
// while none is: slowly if servers are full, fast if they have free slots. Some
// runs always pass, so that room that has come back is noticed. The most urgent
// requests get their part of the share first.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/expected_call.h"

namespace plantaindale {

// How a call has ended.
enum class call_end
{
  kServed,  // its server's slots were in use, or that is not known
  kHadRoom, // served by a server with free slots
  kRefused, // not run for lack of room, or expired
  kOther    // tells nothing of the room
};

struct run_request
{
  int mPriority = 0; // 0 is the most urgent
  std::span<const expected_call> mCalls;
};

// What was known of a called service when a run was refused for it.
struct call_shortage
{
  std::string mService;
  double mCallsPerRun = 0;  // to it, of the run
  double mShare = 1;        // of the calls that may be made
  double mRefusedShare = 0; // of the calls that ended last
  instant mSeenAt = kNever; // when the last of these ended
  duration mRoomIn{ 0 };    // until all runs pass, if the servers have room now
};

// Performs no I/O and reads no clock. Not thread-safe.
class call_admission
{
public:
  // Commands.
  // Whether the request is to run; if not, which service lacks room.
  std::optional<call_shortage> FindShortage(const run_request& aRequest,
                                            instant aNow);
  void OnCallEnd(std::string_view aService, call_end aEnd, instant aNow);

  // Queries. The share of its calls that may be made; 1 without a shortage.
  double ShareOf(std::string_view aService) const;
  template<class visitor>
  void ForEachService(const visitor& aVisit) const
  {
    for (const auto& [name, service] : mServices) {
      aVisit(name, service.mShare);
    }
  }

private:
  static constexpr std::size_t kPriorities = 8; // less urgent ones are the last

  // Calls that ended since the share was last changed.
  struct round
  {
    instant mBegan = kNever;
    int mEnded = 0;
    int mRefused = 0;
    int mHadRoom = 0;
  };
  struct priority_state
  {
    double mDemand = 0; // calls that runs would make, decaying
    double mRuns = 0;   // decaying
    double mCredit = 1; // a run passes when it is 1
  };
  struct service_state
  {
    double mShare = 1;
    double mRefusedShare = 0; // of the last round
    instant mLastEnd = kNever;
    instant mReducedAt = kNever;
    instant mDecayedAt = kNever;
    round mRound;
    std::array<priority_state, kPriorities> mPriorities;
  };

  static std::size_t IndexOf(int aPriority);
  static void CountDemand(service_state& aService,
                          std::size_t aPriority,
                          double aCalls,
                          instant aNow);
  static double PassProbability(const service_state& aService,
                                std::size_t aPriority,
                                double aCalls);
  static void EndRound(service_state& aService, instant aNow);

  std::map<std::string, service_state, std::less<>> mServices;
};

} // namespace plantaindale
