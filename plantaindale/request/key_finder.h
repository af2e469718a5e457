// Extracts the key of a request as the service's key rule configures it, and
// maps it to a shard.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/configuration/cluster_configuration.h"

namespace plantaindale {

// The key, percent-decoded so that differently encoded forms of a key are
// equal. kInvalidArgument if the request has no key.
absl::StatusOr<std::string>
FindKey(const key_rule& aRule, const protocol::request_head& aHead);

// The shard of a key. kInvalidArgument if the service's keys are numbers and
// `aKey` is not a number in their range.
absl::StatusOr<int>
FindShard(const service_configuration& aService, std::string_view aKey);

} // namespace plantaindale
