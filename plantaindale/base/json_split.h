// Splits the outermost level of a JSON text into the texts of its parts,
// without parsing them. A document of many entries is read this way, so that an
// entry that can't be parsed, for example because it nests too deeply, doesn't
// hide the others.
//
//   auto members = SplitObject(body);
//   for (std::string_view item : *SplitArray(FindMember(*members, "items"))) {
//     ... json::parse(item, error) ...
//   }
#pragma once

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace plantaindale {

struct json_member
{
  std::string_view mName; // between the quotes, with its escapes
  std::string_view mValue;
};

// Both return kInvalidArgument if the text isn't one object or array. The parts
// are views of `aText` and may be malformed themselves. The cost doesn't depend
// on how deeply they nest.
absl::StatusOr<std::vector<json_member>>
SplitObject(std::string_view aText);
absl::StatusOr<std::vector<std::string_view>>
SplitArray(std::string_view aText);

// The value of the last member of the name, as JSON parsers choose it; empty if
// there is none.
std::string_view
FindMember(const std::vector<json_member>& aMembers, std::string_view aName);

} // namespace plantaindale
