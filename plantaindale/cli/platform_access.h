// Lets a command of the command line, which has no fibers, use the platform.
#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Runs `aCallback` with a store that speaks to the platform at `aPeer`; returns
// what it returns.
int
RunWithStore(const std::string& aPeer,
             const std::function<int(object_store&)>& aCallback);

// All that the platform holds now.
absl::StatusOr<cluster_view>
ReadClusterView(const std::string& aPeer);

// The admin address of a node, by the platform's record of it.
absl::StatusOr<std::string>
FindAdminAddress(const std::string& aPeer, const std::string& aNode);

} // namespace plantaindale
