#include "plantaindale/limits/call_profile.h"

#include <algorithm>
#include <utility>

namespace plantaindale {
namespace {

constexpr char kIdSeparator = '.';
// Weight of a run in the means, once so many have ended.
constexpr double kRunsInMean = 64;
// With fewer runs nothing is said of a route.
constexpr double kMinRuns = 8;
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kMaxServicesPerRoute = 16;
// Means that have decayed so far are removed.
constexpr double kNoCalls = 0.001;

double&
CountOf(std::vector<expected_call>& aCalls, std::string_view aService)
{
  const auto found =
    std::find_if(aCalls.begin(), aCalls.end(), [&](const expected_call& aCall) {
      return aCall.mService == aService;
    });
  if (found != aCalls.end()) {
    return found->mCount;
  }
  aCalls.push_back({ std::string(aService), 0 });
  return aCalls.back().mCount;
}

} // namespace

bool
call_profile::Begin(std::string_view aId, std::string_view aRoute)
{
  return !aId.empty() &&
         mActive
           .try_emplace(std::string(aId), active_run{ std::string(aRoute), {} })
           .second;
}

// Empty if the id can't be that of a call.
std::string_view
call_profile::ParentOf(std::string_view aId)
{
  const std::size_t end = aId.rfind(kIdSeparator);
  return end == std::string_view::npos ? "" : aId.substr(0, end);
}

bool
call_profile::IsCall(std::string_view aId) const
{
  return !mActive.empty() && mActive.contains(ParentOf(aId));
}

void
call_profile::OnCall(std::string_view aId, std::string_view aService)
{
  const auto parent = mActive.find(ParentOf(aId));
  if (parent == mActive.end()) {
    return;
  }
  std::vector<expected_call>& calls = parent->second.mCalls;
  if (calls.size() < kMaxServicesPerRoute) {
    ++CountOf(calls, aService);
  }
}

void
call_profile::End(std::string_view aId)
{
  const auto found = mActive.find(aId);
  if (found == mActive.end()) {
    return;
  }
  const active_run run = std::move(found->second);
  mActive.erase(found);
  route_state& route = StateOf(run.mRoute);
  route.mLastEnd = ++mEnded;
  route.mRuns = std::min(route.mRuns + 1, kRunsInMean);
  const double weight = 1 / route.mRuns;
  for (expected_call& mean : route.mCallsPerRun) {
    mean.mCount *= 1 - weight;
  }
  for (const expected_call& made : run.mCalls) {
    CountOf(route.mCallsPerRun, made.mService) += weight * made.mCount;
  }
  std::erase_if(route.mCallsPerRun, [](const expected_call& aMean) {
    return aMean.mCount < kNoCalls;
  });
}

// Configuration changes add and remove routes; a new one takes the place of the
// one whose last run ended first.
call_profile::route_state&
call_profile::StateOf(const std::string& aRoute)
{
  const auto found = mRoutes.find(aRoute);
  if (found != mRoutes.end()) {
    return found->second;
  }
  if (mRoutes.size() >= kMaxRoutes) {
    mRoutes.erase(std::min_element(mRoutes.begin(),
                                   mRoutes.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second.mLastEnd <
                                            aRight.second.mLastEnd;
                                   }));
  }
  return mRoutes[aRoute];
}

std::span<const expected_call>
call_profile::CallsPerRun(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || found->second.mRuns < kMinRuns) {
    return {};
  }
  return found->second.mCallsPerRun;
}

} // namespace plantaindale
