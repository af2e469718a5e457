// suspect_gate lets the requests that are one end away from a verdict run one
// at a time at the local backend server. If the server ends under one of them,
// the others have not run, so that only one is refused from then on.
//
//   const auto permit = gate.Enter([&] { return is_suspect && !cancelled; });
//   ... run
//
// A wait is bounded, since the request that runs may wait for the one that
// waits: a server may make a call to itself.
#pragma once

#include <functional>
#include <utility>

#include "plantaindale/base/boot_clock.h"
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace plantaindale {

// Single-threaded; Enter blocks the calling fiber.
class suspect_gate
{
public:
  static constexpr duration kMaxWait = std::chrono::milliseconds(500);

  // Lets the next request in when it is destroyed.
  class permit
  {
  public:
    // Null: the request has not closed the gate.
    explicit permit(suspect_gate* aGate)
      : mGate(aGate)
    {
    }
    permit(permit&& aOther) noexcept
      : mGate(std::exchange(aOther.mGate, nullptr))
    {
    }
    permit(const permit&) = delete;
    permit& operator=(const permit&) = delete;
    permit& operator=(permit&&) = delete;
    ~permit();

  private:
    suspect_gate* mGate;
  };

  // Waits for its turn, at most kMaxWait and only as long as `aMustWait` says.
  permit Enter(const std::function<bool()>& aMustWait);

private:
  bool mIsTaken = false;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mFreed;
};

} // namespace plantaindale
