// refused_attempts lists the attempts that a server refused on a connection and
// that may still be tried again. A server may send a refusal twice, the second
// time late. The attempt id in it tells it from responses to other attempts,
// but not from the response to the next try of the same attempt, so that try
// needs another connection.
//
//   refused_attempts refused;
//   refused.Add("9c41d07be2a35f68", deadline, now);
//   if (!refused.Contains("9c41d07be2a35f68")) { ... use the connection }
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

class refused_attempts
{
public:
  // `aDeadline` is that of the try. Drops the attempts that can't be tried
  // again after `aNow`.
  void Add(std::string_view aAttemptId, instant aDeadline, instant aNow);
  bool Contains(std::string_view aAttemptId) const;

private:
  struct refused_attempt
  {
    std::string mId;
    instant mRetriedUntil;
  };

  std::vector<refused_attempt> mAttempts;
};

} // namespace plantaindale
