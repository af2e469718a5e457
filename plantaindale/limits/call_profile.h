// call_profile learns how many calls a run of each route makes to each service.
// The node beside a backend server sees the requests that run there and the
// calls that the server makes through it. A call names its parent: its id is
// the id of the running request, a dot, and a part of its own.
//
//   profile.Begin("7f95a8", "browse");
//   if (profile.IsCall("7f95a8.1")) {
//     profile.OnCall("7f95a8.1", "stock");
//   }
//   profile.End("7f95a8");
//   profile.CallsPerRun("browse"); // { "stock", 1 }, after enough runs
//
// A server whose calls have other ids makes none, as far as is known here.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/limits/expected_call.h"

namespace plantaindale {

// Performs no I/O and reads no clock. Not thread-safe.
class call_profile
{
public:
  // Commands.
  // The local backend server begins to run a request. Returns false if one with
  // this id is running already; End must not be called for it then.
  bool Begin(std::string_view aId, std::string_view aRoute);
  void End(std::string_view aId);
  // A running request makes a call; others are ignored.
  void OnCall(std::string_view aId, std::string_view aService);

  // Queries.
  // Whether the id is that of a call which a running request makes.
  bool IsCall(std::string_view aId) const;
  // The calls of a run of the route; none while too few runs are
  // known. Valid until the next command.
  std::span<const expected_call> CallsPerRun(std::string_view aRoute) const;
  std::size_t Routes() const { return mRoutes.size(); }

private:
  struct route_state
  {
    double mRuns = 0; // decays with each run
    std::vector<expected_call> mCallsPerRun;
    std::int64_t mLastEnd = 0; // number of the run that ended last
  };
  struct active_run
  {
    std::string mRoute;
    std::vector<expected_call> mCalls;
  };

  using run_map = std::map<std::string, active_run, std::less<>>;

  static std::string_view ParentOf(std::string_view aId);
  route_state& StateOf(const std::string& aRoute);

  run_map mActive; // by id
  std::map<std::string, route_state, std::less<>> mRoutes;
  std::int64_t mEnded = 0;
};

} // namespace plantaindale
