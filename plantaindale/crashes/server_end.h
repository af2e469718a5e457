// server_end reports that a backend server has ended, with the requests that it
// was running. The node beside the server makes it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/crashes/request_fingerprint.h"

namespace plantaindale {

// A request that a backend server was running when it ended.
struct interrupted_run
{
  request_fingerprint mFingerprint;
  std::string mTarget;
  std::string mRequest; // the caller's attempt id, for logs
  instant mBeganAt = kNever;
};

struct server_end
{
  std::string mService;
  std::string mInstance;
  std::int64_t mStartedAt = 0; // Unix ms, see announced_server
  instant mEndedAt = kNever;
  std::vector<interrupted_run> mRuns;
};

} // namespace plantaindale
