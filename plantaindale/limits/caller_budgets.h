// caller_budgets tells how long ago a caller made its first attempt. Callers
// say how long they still wait; one that returns after a refusal allows less
// than a new one on the same route.
//
//   const duration used = budgets.Note("orders", milliseconds(1700), now);
//   // 300 ms, if other callers allow 2 s
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

// Single-threaded.
class caller_budgets
{
public:
  // Notes an attempt of a caller that still waits for `aBudget`. Returns the
  // time that the caller has used; 0 if it seems to be new, or allows so little
  // that it rather has a budget of its own.
  duration Note(std::string_view aRoute, duration aBudget, instant aNow);

private:
  struct route_budgets
  {
    instant mSince;          // begin of the current window
    duration mMost{ 0 };     // in the current window
    duration mMostLast{ 0 }; // in the window before
  };

  std::map<std::string, route_budgets, std::less<>> mRoutes;
};

} // namespace plantaindale
