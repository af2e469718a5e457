#include "plantaindale/configuration/merge_patch.h"

#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// Whether a member of the value, at any depth outside arrays, is null.
bool
HasNullMember(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return false;
  }
  for (const auto& member : *object) {
    if (member.value().is_null() || HasNullMember(member.value())) {
      return true;
    }
  }
  return false;
}

// The patch between two values of which the later has no null member.
json::value
Difference(const json::value& aBefore, const json::value& aAfter)
{
  const json::object* before = aBefore.if_object();
  const json::object* after = aAfter.if_object();
  if (before == nullptr || after == nullptr) {
    // Applied to anything but an object, an object patch starts from {}.
    return aAfter;
  }
  json::object patch;
  for (const auto& member : *before) {
    if (!after->contains(member.key())) {
      patch[member.key()] = nullptr;
    }
  }
  for (const auto& member : *after) {
    const json::value* old = before->if_contains(member.key());
    if (old == nullptr) {
      patch[member.key()] = member.value();
    } else if (*old != member.value()) {
      patch[member.key()] = Difference(*old, member.value());
    }
  }
  return patch;
}

} // namespace

json::value
MergePatch(json::value aTarget, const json::value& aPatch)
{
  if (!aPatch.is_object()) {
    return aPatch;
  }
  json::object merged =
    aTarget.is_object() ? std::move(aTarget.get_object()) : json::object();
  for (const auto& member : aPatch.get_object()) {
    if (member.value().is_null()) {
      merged.erase(member.key());
    } else {
      json::value& value = merged[member.key()];
      value = MergePatch(std::move(value), member.value());
    }
  }
  return merged;
}

std::optional<json::value>
MakeMergePatch(const json::value& aBefore, const json::value& aAfter)
{
  if (HasNullMember(aAfter)) {
    return std::nullopt;
  }
  return Difference(aBefore, aAfter);
}

} // namespace plantaindale
