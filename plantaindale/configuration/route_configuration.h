// route_configuration maps requests to services and sets their timeout, number
// of attempts and priority.
//
//   const route_configuration* route = configuration.FindRoute(host, path);
//   const std::string& service = ChooseTarget(*route, random).mService;
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantaindale {

// A service and its share of the requests of a route.
struct traffic_share
{
  std::string mService;
  double mWeight = 1; // relative to the other shares of the route
};

struct route_configuration
{
  std::string mName;
  std::string mHost; // empty: any host
  std::string mPathPrefix;
  std::vector<traffic_share> mTargets; // at least one
  // Maximum time from the arrival of a request to its response.
  std::chrono::milliseconds mTimeout{ 10000 };
  // Latency within which a response has its full value to the caller.
  std::chrono::milliseconds mTargetLatency{ 1000 };
  int mPriority = 0; // 0 is the highest
  // Maximum number of backend servers that one request may be sent to.
  int mMostServers = 3;
  // Whether requests may be retried after an unknown outcome. If not set, the
  // method and the service decide.
  std::optional<bool> mIsIdempotent;
  // Whether responses may be large and read slowly. Nodes then take them from
  // their servers ahead of the callers, as far as memory allows.
  bool mHasLargeResponses = false;
};

// Picks a target by weight. `aRandom` is uniform in [0, 1).
const traffic_share&
ChooseTarget(const route_configuration& aRoute, double aRandom);

} // namespace plantaindale
