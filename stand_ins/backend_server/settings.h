// What one backend server stand-in is told on its command line.
#pragma once

#include <string>

#include "plantaindale/membership/node_record.h"

namespace plantaindale::stand_ins {

struct server_settings
{
  announced_server mAnnounced;
  std::string mAnnounceTo; // the node's admin address
  std::string mRunLog;     // a file that each run is written to
  int mColdStartMs = 0;    // before a shard's first request
};

} // namespace plantaindale::stand_ins
