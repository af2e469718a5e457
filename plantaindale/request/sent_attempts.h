// sent_attempts lists the attempts that were sent over a connection to a server
// and may still be tried again. A server may send a response twice, the second
// time late. Its attempt id tells it from responses to other attempts, but not
// from the response to a later try of the same attempt, so that try needs
// another connection.
//
//   sent_attempts sent;
//   sent.Add("9c41d07be2a35f68", deadline, now);
//   if (!sent.Contains("9c41d07be2a35f68")) { ... the connection can be used }
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale {

class sent_attempts
{
public:
  // `aDeadline` is that of the try. An empty id identifies nothing and is not
  // listed. Drops the attempts that can't be tried again after `aNow`.
  void Add(std::string_view aAttemptId, instant aDeadline, instant aNow);
  bool Contains(std::string_view aAttemptId) const;

private:
  struct sent_attempt
  {
    std::string mId;
    instant mRetriedUntil;
  };

  std::vector<sent_attempt> mAttempts;
};

} // namespace plantaindale
