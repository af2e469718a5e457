#include "plantaindale/limits/call_admission.h"

#include <algorithm>
#include <cmath>

namespace plantaindale {
namespace {

// A run with fewer calls on average counts as one without calls.
constexpr double kFewCalls = 0.2;
constexpr duration kDemandTime = std::chrono::seconds(2);
// The share changes after so many calls and so long a time, or after the
// longest time with a single call.
constexpr int kCallsPerRound = 6;
constexpr duration kShortestRound = std::chrono::milliseconds(200);
constexpr duration kLongestRound = std::chrono::milliseconds(400);
// Calls of runs that were admitted before a reduction still end for so long.
constexpr duration kReductionDelay = std::chrono::milliseconds(400);
// Refusals up to this share are taken for chance.
constexpr double kToleratedRefusals = 0.1;
constexpr double kPriorCalls = 4;
constexpr double kStrongestReduction = 0.5;
constexpr double kMinShare = 0.15;
constexpr double kSlowGrowth = 0.03;
constexpr double kFastGrowth = 1;
// Calls a second that runs may make in any case.
constexpr double kProbesPerSecond = 2;
// Without the end of a call for so long nothing is known of the service.
constexpr duration kForgetAfter = std::chrono::seconds(5);
constexpr std::size_t kMaxServices = 16;

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// The time in which a share grows to 1 at best, or one round.
duration
TimeToGrow(double aShare)
{
  const double rounds = std::log(1 / aShare) / std::log(1 + kFastGrowth);
  return std::chrono::duration_cast<duration>(kLongestRound *
                                              std::max(rounds, 1.0));
}

} // namespace

std::size_t
call_admission::IndexOf(int aPriority)
{
  return static_cast<std::size_t>(
    std::clamp(aPriority, 0, static_cast<int>(kPriorities) - 1));
}

std::optional<call_shortage>
call_admission::FindShortage(const run_request& aRequest, instant aNow)
{
  const std::size_t priority = IndexOf(aRequest.mPriority);
  for (const expected_call& call : aRequest.mCalls) {
    const auto found = mServices.find(call.mService);
    if (found == mServices.end() || call.mCount < kFewCalls) {
      continue;
    }
    service_state& service = found->second;
    if (aNow > service.mLastEnd + kForgetAfter) {
      service.mShare = 1;
    }
    CountDemand(service, priority, call.mCount, aNow);
    if (service.mShare >= 1) {
      continue;
    }
    // Passes are spaced evenly, which spares the called service bursts.
    double& credit = service.mPriorities[priority].mCredit;
    credit =
      std::min(credit + PassProbability(service, priority, call.mCount), 2.0);
    if (credit < 1) {
      return call_shortage{ found->first,     call.mCount,
                            service.mShare,   service.mRefusedShare,
                            service.mLastEnd, TimeToGrow(service.mShare) };
    }
    credit -= 1;
  }
  return std::nullopt;
}

void
call_admission::CountDemand(service_state& aService,
                            std::size_t aPriority,
                            double aCalls,
                            instant aNow)
{
  if (aService.mDecayedAt != kNever && aNow > aService.mDecayedAt) {
    const double kept =
      std::exp(-Seconds(aNow - aService.mDecayedAt) / Seconds(kDemandTime));
    for (priority_state& each : aService.mPriorities) {
      each.mDemand *= kept;
      each.mRuns *= kept;
    }
  }
  aService.mDecayedAt = std::max(aService.mDecayedAt, aNow);
  priority_state& state = aService.mPriorities[aPriority];
  state.mDemand += aCalls;
  state.mRuns += 1;
}

// The share of the calls of this priority, raised for runs that make fewer
// calls than others of it.
double
call_admission::PassProbability(const service_state& aService,
                                std::size_t aPriority,
                                double aCalls)
{
  double total = 0;
  double more_urgent = 0;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    const double demand = aService.mPriorities[i].mDemand;
    total += demand;
    more_urgent += i < aPriority ? demand : 0;
  }
  const double probes =
    std::min(kProbesPerSecond * Seconds(kDemandTime), total);
  const double allowed = std::max(aService.mShare * total, probes);
  const priority_state& own = aService.mPriorities[aPriority];
  const double share =
    std::clamp((allowed - more_urgent) / own.mDemand, 0.0, 1.0);
  return std::pow(share, aCalls * own.mRuns / own.mDemand);
}

void
call_admission::OnCallEnd(std::string_view aService,
                          call_end aEnd,
                          instant aNow)
{
  if (aEnd == call_end::kOther) {
    return;
  }
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    if (mServices.size() >= kMaxServices) {
      std::erase_if(mServices, [&](const auto& aItem) {
        return aNow > aItem.second.mLastEnd + kForgetAfter;
      });
    }
    if (mServices.size() >= kMaxServices) {
      return;
    }
    found = mServices.try_emplace(std::string(aService)).first;
  }
  service_state& service = found->second;
  if (aNow > service.mLastEnd + kForgetAfter) {
    service.mShare = 1;
    service.mRound = {};
  }
  service.mLastEnd = aNow;
  round& current = service.mRound;
  if (current.mBegan == kNever) {
    current.mBegan = aNow;
  }
  ++current.mEnded;
  current.mRefused += aEnd == call_end::kRefused ? 1 : 0;
  current.mHadRoom += aEnd == call_end::kHadRoom ? 1 : 0;
  const duration lasted = aNow - current.mBegan;
  const bool has_enough =
    current.mEnded >= kCallsPerRound && lasted >= kShortestRound;
  if (has_enough || lasted >= kLongestRound) {
    EndRound(service, aNow);
  }
}

void
call_admission::EndRound(service_state& aService, instant aNow)
{
  const round ended = aService.mRound;
  aService.mRound = { aNow };
  const double served = ended.mEnded - ended.mRefused;
  const double had_room = served > 0 ? ended.mHadRoom / served : 0;
  aService.mRefusedShare = static_cast<double>(ended.mRefused) / ended.mEnded;
  // Refusals beside free slots come from single servers; fewer calls would not
  // prevent them.
  const double lacked_room = ended.mRefused * (1 - had_room);
  if (lacked_room <= kToleratedRefusals * ended.mEnded) {
    const double growth = kSlowGrowth + kFastGrowth * had_room * had_room;
    aService.mShare = std::min(aService.mShare * (1 + growth), 1.0);
    return;
  }
  if (aNow < aService.mReducedAt + kReductionDelay) {
    return;
  }
  aService.mReducedAt = aNow;
  // The few calls of a round are joined by some that were refused as tolerated,
  // so that a single refusal doesn't halve the share.
  const double kept =
    (ended.mEnded - lacked_room + kPriorCalls * (1 - kToleratedRefusals)) /
    (ended.mEnded + kPriorCalls) / (1 - kToleratedRefusals);
  aService.mShare =
    std::max(aService.mShare * std::max(kept, kStrongestReduction), kMinShare);
}

double
call_admission::ShareOf(std::string_view aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 1 : found->second.mShare;
}

} // namespace plantaindale
