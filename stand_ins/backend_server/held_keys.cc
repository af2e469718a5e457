#include "stand_ins/backend_server/held_keys.h"

namespace plantaindale::stand_ins {

bool
held_keys::Grant(std::int64_t aFrom,
                 std::int64_t aTo,
                 std::int64_t aFence,
                 instant aUntil)
{
  for (auto known = mKeys.lower_bound(aFrom);
       known != mKeys.end() && known->first <= aTo;
       ++known) {
    if (known->second.mFence > aFence) {
      return false;
    }
  }
  for (std::int64_t key = aFrom; key <= aTo; ++key) {
    mKeys[key] = { aFence, aUntil };
  }
  return true;
}

bool
held_keys::Release(std::int64_t aFrom, std::int64_t aTo, std::int64_t aFence)
{
  return Grant(aFrom, aTo, aFence, kNever);
}

bool
held_keys::Holds(std::int64_t aKey, instant aNow) const
{
  const auto known = mKeys.find(aKey);
  return known != mKeys.end() && aNow < known->second.mUntil;
}

} // namespace plantaindale::stand_ins
