#include "plantaindale/limits/accepted_load.h"

#include <algorithm>
#include <cmath>

namespace plantaindale {
namespace {

// Requests count less the older they are; about as long as callers wait.
constexpr double kMemorySeconds = 1;

} // namespace

void
accepted_load::Add(int aPriority, duration aRunTime, instant aNow)
{
  auto found =
    std::find_if(mLoads.begin(), mLoads.end(), [&](const priority_load& aLoad) {
      return aLoad.mPriority == aPriority;
    });
  if (found == mLoads.end()) {
    found = mLoads.insert(found, { aPriority, 0, aNow });
  }
  found->mSeconds =
    SecondsAt(*found, aNow) + std::chrono::duration<double>(aRunTime).count();
  found->mUpdated = aNow;
}

double
accepted_load::ShareUpTo(int aPriority, int aSlots, instant aNow) const
{
  double seconds = 0;
  for (const priority_load& load : mLoads) {
    seconds += load.mPriority <= aPriority ? SecondsAt(load, aNow) : 0;
  }
  return seconds / (kMemorySeconds * std::max(aSlots, 1));
}

double
accepted_load::SecondsAt(const priority_load& aLoad, instant aNow)
{
  const std::chrono::duration<double> age = aNow - aLoad.mUpdated;
  return aLoad.mSeconds * std::exp(-age.count() / kMemorySeconds);
}

} // namespace plantaindale
