// The settings of one node process, from its YAML file: who it is, where it
// listens and where the platform is. All else is in the configuration.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/node/own_record.h"

namespace plantaindale {

struct node_settings
{
  node_description mDescription;
  std::string mPlatform; // IP:PORT
};

// Every fault is reported at once, with file, line and expectation.
absl::StatusOr<node_settings>
ReadNodeSettings(const std::string& aFile);

} // namespace plantaindale
