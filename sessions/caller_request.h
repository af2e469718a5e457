// CallNode makes one request of a caller over a connection of its own, for
// tests that need the status and the detail of a response.
//
//   call_answer answer = CallNode(address, { "GET", "/board/k1", "t1" });
#pragma once

#include <string>

#include "plantaindale/base/boot_clock.h"

namespace plantaindale::sessions {

struct call_request
{
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mTag; // in the run log of the server
  std::string mBody = {};
  std::string mIdempotencyKey = {};
};

struct call_answer
{
  int mStatus = 0; // 0: none
  std::string mBody;
  std::string mOutcome; // that the node states: not-run, unknown or none
  duration mTook{ 0 };

  // The node says that the request is refused for the servers that it ended.
  bool IsRefusedAsCrashing() const;
};

// Waits up to 5 s. `aAddress` is IP:PORT.
call_answer
CallNode(const std::string& aAddress, const call_request& aRequest);

} // namespace plantaindale::sessions
