// Helpers for protocol::node_identity, the name and incarnation that identify a
// node process in leases, grants and messages.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "generated/plantaindale_types.h"

namespace plantaindale {

using protocol::node_identity;

inline node_identity
MakeIdentity(std::string aName, std::int64_t aIncarnation)
{
  node_identity identity;
  identity.name = std::move(aName);
  identity.incarnation = aIncarnation;
  return identity;
}

// Returns the form for logs and messages: `n1#4`.
inline std::string
ToText(const node_identity& aIdentity)
{
  return absl::StrCat(aIdentity.name, "#", aIdentity.incarnation);
}

} // namespace plantaindale
