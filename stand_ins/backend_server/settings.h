// Command line settings of a backend server stand-in.
#pragma once

#include <string>

#include "plantaindale/membership/node_record.h"

namespace plantaindale::stand_ins {

struct server_settings
{
  announced_server mAnnounced;
  std::string mAnnounceTo;  // the node's admin address
  int mAnnounceDelayMs = 0; // from the start to the first announcement
  std::string mRunLog;      // file to log runs to; empty for none
  int mColdStartMs = 0;     // delay of a shard's first request
  // Requests per second that every response names as the limit; 0: none.
  double mRateLimit = 0;
};

} // namespace plantaindale::stand_ins
