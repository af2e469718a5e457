// route_configuration says which requests go to which services, and how long,
// how often and how urgently they are tried.
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

// A service's share of a route's requests.
struct traffic_share
{
  std::string mService;
  double mWeight = 1; // relative to the other shares of the route
};

struct route_configuration
{
  std::string mName;
  std::string mHost; // empty: any
  std::string mPathPrefix;
  std::vector<traffic_share> mTargets; // at least one
  // The longest time that a request is kept waiting.
  std::chrono::milliseconds mTimeout{ 10000 };
  // The time in which an answer is worth most.
  std::chrono::milliseconds mTargetLatency{ 1000 };
  int mPriority = 0; // 0 is the most urgent
  // Backend servers to which one attempt of a caller may be sent.
  int mMostServers = 3;
  // Whether requests may be run again; not set: by method and service.
  std::optional<bool> mIsIdempotent;
};

// The share that a number from [0, 1) falls into, by weight.
const traffic_share&
ChooseTarget(const route_configuration& aRoute, double aRandom);

} // namespace plantaindale
