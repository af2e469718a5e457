#include "plantaindale/configuration/route_configuration.h"

namespace plantaindale {

const traffic_share&
ChooseTarget(const route_configuration& aRoute, double aRandom)
{
  double total = 0;
  for (const traffic_share& share : aRoute.mTargets) {
    total += share.mWeight;
  }
  double left = aRandom * total;
  for (const traffic_share& share : aRoute.mTargets) {
    left -= share.mWeight;
    if (left < 0) {
      return share;
    }
  }
  return aRoute.mTargets.back();
}

} // namespace plantaindale
