#include "plantaindale/request/key_finder.h"

#include <charconv>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/request/http_fields.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {
namespace {

constexpr std::size_t kEscapeLength = 3; // %41

// Leaves malformed escapes unchanged.
std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned char value = 0;
    const bool has_room = i + kEscapeLength <= aText.size();
    const char* digits = aText.data() + i + 1;
    const bool is_escape =
      aText[i] == '%' && has_room &&
      std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
    decoded += is_escape ? static_cast<char>(value) : aText[i];
    i += is_escape ? kEscapeLength - 1 : 0;
  }
  return decoded;
}

std::string_view
PathSegment(std::string_view aPath, int aIndex)
{
  for (;;) {
    aPath.remove_prefix(aPath.empty() ? 0 : 1);
    const std::size_t slash = aPath.find('/');
    if (aIndex-- == 0) {
      return aPath.substr(0, slash);
    }
    if (slash == aPath.npos) {
      return {};
    }
    aPath.remove_prefix(slash);
  }
}

std::string_view
QueryParameter(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view pair = aQuery.substr(0, aQuery.find('&'));
    const std::size_t equals = pair.find('=');
    if (equals != pair.npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
  }
  return {};
}

} // namespace

absl::StatusOr<std::string>
FindKey(const key_rule& aRule, const protocol::request_head& aHead)
{
  const std::string_view target = aHead.target;
  const std::size_t mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  const std::string_view query =
    mark == target.npos ? std::string_view() : target.substr(mark + 1);
  std::string_view found;
  std::string where;
  switch (aRule.mPlace) {
    case key_rule::place::kPathSegment:
      found = PathSegment(path, aRule.mSegment);
      where = absl::StrCat("path segment ", aRule.mSegment);
      break;
    case key_rule::place::kHeader:
      found = FieldValue(aHead.fields, aRule.mName);
      where = "header " + aRule.mName;
      break;
    case key_rule::place::kQuery:
      found = QueryParameter(query, aRule.mName);
      where = "query parameter " + aRule.mName;
      break;
  }
  if (found.empty()) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "find_key",
                     "",
                     "expected the key in " + where);
  }
  return PercentDecode(found);
}

absl::StatusOr<int>
FindShard(const service_configuration& aService, std::string_view aKey)
{
  const int numbers = aService.mKey->mNumbers;
  if (numbers == 0) {
    return ShardOfKey(aKey, aService.mShards);
  }
  int number = -1;
  const char* end = aKey.data() + aKey.size();
  const auto parsed = std::from_chars(aKey.data(), end, number);
  const bool is_key = parsed.ec == std::errc() && parsed.ptr == end &&
                      number >= 0 && number < numbers;
  if (!is_key) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "find_shard",
                     "",
                     absl::StrCat("expected a numeric key below ", numbers));
  }
  return number / (numbers / aService.mShards);
}

} // namespace plantaindale
