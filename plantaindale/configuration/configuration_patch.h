// Applies an operator's patch to a version of the configuration and stores the
// result in the platform. A patch is applied at most once, even if responses
// of the platform are lost.
//
//   auto outcome = SubmitPatch(store, { 7, "patch-id", patch });
//   if (outcome.ok()) { ... version outcome->mNumber is current ... }
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/store/object_store.h"
#include <boost/json/value.hpp>

namespace plantaindale {

struct configuration_patch
{
  std::int64_t mBaseNumber = 0; // version that the patch applies to
  std::string mPatchId;         // unique; makes submission idempotent
  boost::json::value mChange;   // JSON merge patch, RFC 7396
};

// Reads the current configuration; its number is 0 if none is stored yet.
absl::StatusOr<cluster_configuration>
ReadConfiguration(object_store& aStore);

// Returns the accepted version. Blocks the calling fiber. Errors:
//
//   kFailedPrecondition  the base is stale; the message has the current number
//   kInvalidArgument     the patched document is invalid
//   kUnknown             the outcome is unknown; submit the same patch id again
absl::StatusOr<cluster_configuration>
SubmitPatch(object_store& aStore, const configuration_patch& aPatch);

} // namespace plantaindale
