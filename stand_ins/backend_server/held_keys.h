// held_keys is what a backend server stand-in knows of the keys that its node
// has granted to it: the highest fencing token of each, and until when it holds
// the key.
//
//   if (!keys.Grant(0, 9, 4, now + hold)) { ... }  // a higher token was seen
//   if (keys.Holds(3, now)) { ... }
#pragma once

#include <cstdint>
#include <map>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale::stand_ins {

class held_keys
{
public:
  // Holds the keys from `aFrom` to `aTo` until `aUntil`. False, and no change,
  // if a higher token was seen for one of them.
  bool Grant(std::int64_t aFrom,
             std::int64_t aTo,
             std::int64_t aFence,
             instant aUntil);
  // Holds the keys no longer. False as for Grant().
  bool Release(std::int64_t aFrom, std::int64_t aTo, std::int64_t aFence);
  bool Holds(std::int64_t aKey, instant aNow) const;

private:
  struct key_state
  {
    std::int64_t mFence = 0; // highest seen
    instant mUntil = kNever;
  };

  std::map<std::int64_t, key_state> mKeys;
};

} // namespace plantaindale::stand_ins
