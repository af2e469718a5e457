#include "plantaindale/limits/caller_budgets.h"

#include <algorithm>

namespace plantaindale {
namespace {

constexpr duration kWindow = std::chrono::seconds(30);
// Configuration changes add and remove routes.
constexpr std::size_t kMaxRoutes = 4096;

// Callers wait for up to a third of their time before they return. After two
// returns, four ninths are left.
bool
MayBeLeftOf(duration aLeft, duration aBudget)
{
  return aLeft * 9 >= aBudget * 4;
}

} // namespace

duration
caller_budgets::Note(std::string_view aRoute, duration aBudget, instant aNow)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      mRoutes.clear();
    }
    found = mRoutes.emplace(aRoute, route_budgets{ aNow }).first;
  }
  route_budgets& budgets = found->second;
  if (aNow >= budgets.mSince + kWindow) {
    const bool is_next = aNow < budgets.mSince + 2 * kWindow;
    budgets.mMostLast = is_next ? budgets.mMost : duration(0);
    budgets.mMost = duration(0);
    budgets.mSince = aNow;
  }
  budgets.mMost = std::max(budgets.mMost, aBudget);
  const duration full = std::max(budgets.mMost, budgets.mMostLast);
  return MayBeLeftOf(aBudget, full) ? full - aBudget : duration(0);
}

} // namespace plantaindale
