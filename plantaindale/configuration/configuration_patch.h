// Applies an operator's patch to a numbered version of the configuration and
// has the platform accept it, once, whatever becomes of the answers.
//
//   auto outcome = SubmitPatch(store, { 7, "patch-id", patch });
//   if (outcome.ok()) { ... outcome->mNumber is in force ... }
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
  std::int64_t mBaseNumber = 0;
  std::string mPatchId;       // unique to this patch
  boost::json::value mChange; // JSON merge patch, RFC 7396
};

// `aTarget` changed as RFC 7396 says.
boost::json::value
MergePatch(const boost::json::value& aTarget,
           const boost::json::value& aChange);

// The configuration now; number 0 when there has been none.
absl::StatusOr<cluster_configuration>
ReadConfiguration(object_store& aStore);

// The accepted version. kFailedPrecondition: the base is stale, and the error
// names the current number. kInvalidArgument: the result would be faulty.
// kUnknown: whether it was accepted can't be told; submit the same patch id
// again. Waits on the calling fiber.
absl::StatusOr<cluster_configuration>
SubmitPatch(object_store& aStore, const configuration_patch& aPatch);

} // namespace plantaindale
