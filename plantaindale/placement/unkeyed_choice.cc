#include "plantaindale/placement/unkeyed_choice.h"

#include <algorithm>
#include <cmath>

namespace plantaindale {
namespace {

// Costs are in run times at a usual server. A server whose slots are all in use
// makes a request wait for one run time more.

// Extra cost of a server in another failure domain: traffic between failure
// domains costs more than a short wait.
constexpr double kRemoteDomainPenalty = 0.7;
// A request's own run weighs less than the same time of waiting: reports are
// old and incomplete, and a server that many nodes prefer fills up between
// them.
constexpr double kRunWeight = 0.6;
// For servers of unknown room: an older report is ignored.
constexpr duration kLoadReportTtl = std::chrono::milliseconds(400);
// For the others: a report of this age counts for 1/e.
constexpr std::chrono::duration<double> kLoadReportDecay{ 2 };

// Mean run time of the servers whose run time is known; 0: of none.
double
UsualRun(std::span<const unkeyed_candidate> aCandidates, instant aNow)
{
  double sum = 0;
  int known = 0;
  for (const unkeyed_candidate& candidate : aCandidates) {
    const bool is_known =
      candidate.mRoom.IsKnown(aNow) && candidate.mRoom.mRun > duration(0);
    if (is_known) {
      sum += static_cast<double>(candidate.mRoom.mRun.count());
      ++known;
    }
  }
  return known == 0 ? 0 : sum / known;
}

double
ExpectedOutstanding(const unkeyed_candidate& aCandidate, instant aNow)
{
  const double in_flight = aCandidate.mInFlight;
  const double reported = aCandidate.mReportedOutstanding;
  if (!aCandidate.mRoom.IsKnown(aNow)) {
    const bool is_fresh = aNow < aCandidate.mReportedAt + kLoadReportTtl;
    return std::max(in_flight, is_fresh ? reported : 0);
  }
  const std::chrono::duration<double> age = aNow - aCandidate.mReportedAt;
  const int added = std::min(aCandidate.mSentSinceReport, aCandidate.mInFlight);
  return std::max(in_flight,
                  reported * std::exp(-(age / kLoadReportDecay)) + added);
}

// Expected wait as the server's node tells it; 0: it tells none.
double
ToldWait(const unkeyed_candidate& aCandidate, instant aNow)
{
  const server_room& room = aCandidate.mRoom;
  if (!room.IsKnown(aNow)) {
    return 0;
  }
  const bool is_fresh = aNow < room.mMeasuredAt + kLoadReportTtl;
  double wait = is_fresh ? static_cast<double>(room.mWait.count()) : 0;
  if (room.mStartsPerSecond > 0) {
    const std::chrono::duration<double, std::micro> at_pace =
      std::chrono::duration<double>(
        (room.mWaiting + aCandidate.mSentSinceReport) / room.mStartsPerSecond);
    wait = std::max(wait, at_pace.count());
  }
  return wait;
}

double
ExpectedTime(const unkeyed_candidate& aCandidate,
             double aUsualRun,
             instant aNow)
{
  const auto run =
    static_cast<double>(aCandidate.mRoom.ExpectedRun(aNow).count());
  const double run_times = run > 0 && aUsualRun > 0 ? run / aUsualRun : 1;
  const double used = (ExpectedOutstanding(aCandidate, aNow) + 1) /
                      std::max(aCandidate.mSlots, 1);
  double wait = used * run_times;
  if (aUsualRun > 0) {
    wait = std::max(wait, ToldWait(aCandidate, aNow) / aUsualRun);
  }
  return kRunWeight * (run_times - 1) + wait +
         (aCandidate.mIsRemoteDomain ? kRemoteDomainPenalty : 0);
}

} // namespace

std::size_t
ChooseUnkeyed(std::span<const unkeyed_candidate> aCandidates, instant aNow)
{
  const double usual_run = UsualRun(aCandidates, aNow);
  std::size_t best = 0;
  double least = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double time = ExpectedTime(aCandidates[i], usual_run, aNow);
    if (i == 0 || time < least) {
      best = i;
      least = time;
    }
  }
  return best;
}

} // namespace plantaindale
