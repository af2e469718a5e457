// Finds the key of a request where the configuration says that it stands.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/configuration/cluster_configuration.h"

namespace plantaindale {

// The key, percent-decoded so that one key has one spelling. An error when
// there is none.
absl::StatusOr<std::string>
FindKey(const key_rule& aRule, const protocol::request_head& aHead);

// The shard of a key of the service. An error when the service's keys are
// numbers and this is none of them.
absl::StatusOr<int>
FindShard(const service_configuration& aService, std::string_view aKey);

} // namespace plantaindale
