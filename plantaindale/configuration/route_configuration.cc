#include "plantaindale/configuration/route_configuration.h"

namespace plantaindale {

const traffic_share&
ChooseTarget(const route_configuration& aRoute, double aRandom)
{
  double total = 0;
  for (const traffic_share& share : aRoute.mTargets) {
    total += share.mWeight;
  }
  double remaining = aRandom * total;
  for (const traffic_share& share : aRoute.mTargets) {
    remaining -= share.mWeight;
    if (remaining < 0) {
      return share;
    }
  }
  return aRoute.mTargets.back();
}

} // namespace plantaindale
