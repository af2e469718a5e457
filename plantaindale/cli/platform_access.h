// Access to the metadata store for code that does not run on fibers, such as
// command line commands.
//
//   return RunWithStore("10.0.0.5:8500", [&](object_store& aStore) -> int {
//     ...
//   });
#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Calls `aCallback` with a client of the metadata store at `aPeer`, on a new
// thread that runs fibers. Blocks until the callback ends; returns its result.
int
RunWithStore(const std::string& aPeer,
             const std::function<int(object_store&)>& aCallback);

// Reads all objects of the metadata store at `aPeer`.
absl::StatusOr<cluster_view>
ReadClusterView(const std::string& aPeer);

// Returns the admin address from the node's record in the metadata store;
// kNotFound if there is no record.
absl::StatusOr<std::string>
FindAdminAddress(const std::string& aPeer, const std::string& aNode);

} // namespace plantaindale
