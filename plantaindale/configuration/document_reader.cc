#include "plantaindale/configuration/document_reader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include <boost/json.hpp>

namespace plantaindale {

document_reader::document_reader(const boost::json::value* aValue,
                                 std::string aWhere,
                                 std::vector<document_fault>& aFaults)
  : mValue(aValue)
  , mFieldPath(std::move(aWhere))
  , mFaults(aFaults)
{
  if (mValue != nullptr && mValue->is_null()) {
    mValue = nullptr;
  }
}

const boost::json::value*
document_reader::Find(std::string_view aName) const
{
  if (mValue == nullptr || !mValue->is_object()) {
    return nullptr;
  }
  return mValue->get_object().if_contains(aName);
}

bool
document_reader::Has(std::string_view aName) const
{
  return Find(aName) != nullptr;
}

std::vector<std::string>
document_reader::Names() const
{
  std::vector<std::string> names;
  if (mValue != nullptr && mValue->is_object()) {
    for (const auto& member : mValue->get_object()) {
      names.emplace_back(member.key());
    }
  }
  return names;
}

document_reader
document_reader::Child(std::string_view aName) const
{
  std::string where = mFieldPath.empty() ? "" : mFieldPath + ".";
  where += aName;
  return document_reader(Find(aName), std::move(where), mFaults);
}

void
document_reader::AllowOnly(std::initializer_list<std::string_view> aNames)
{
  if (mValue != nullptr && !mValue->is_object()) {
    AddFault("a mapping");
    return;
  }
  for (const std::string& name : Names()) {
    if (std::find(aNames.begin(), aNames.end(), name) == aNames.end()) {
      std::string known;
      for (std::string_view allowed : aNames) {
        known += known.empty() ? "" : ", ";
        known += allowed;
      }
      Child(name).AddFault("no such key; known keys: " + known);
    }
  }
}

void
document_reader::AddFault(std::string_view aExpected)
{
  mFaults.push_back({ mFieldPath, std::string(aExpected) });
}

std::string
document_reader::Text(std::string_view aName, std::string_view aFallback)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return std::string(aFallback);
  }
  if (!value->is_string()) {
    Child(aName).AddFault("text");
    return std::string(aFallback);
  }
  return std::string(value->get_string());
}

std::string
document_reader::RequiredText(std::string_view aName)
{
  if (!Has(aName)) {
    Child(aName).AddFault("a value for this required key");
    return "";
  }
  return Text(aName, "");
}

std::int64_t
document_reader::Integer(std::string_view aName,
                         std::int64_t aFallback,
                         std::int64_t aMin,
                         std::int64_t aMax)
{
  const boost::json::value* value = Find(aName);
  std::int64_t number = aFallback;
  bool is_integer = true;
  if (value != nullptr) {
    is_integer = value->is_int64();
    number = is_integer ? value->get_int64() : 0;
  }
  if (!is_integer || number < aMin || number > aMax) {
    Child(aName).AddFault(absl::StrCat("an integer from ", aMin, " to ", aMax));
    return std::clamp(number, aMin, aMax);
  }
  return number;
}

double
document_reader::Number(std::string_view aName,
                        double aFallback,
                        double aMin,
                        double aMax)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return aFallback;
  }
  const double number = value->is_number() ? value->to_number<double>() : -1;
  if (!value->is_number() || number < aMin || number > aMax) {
    Child(aName).AddFault(absl::StrCat("a number from ", aMin, " to ", aMax));
    return aFallback;
  }
  return number;
}

bool
document_reader::Boolean(std::string_view aName, bool aFallback)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_bool()) {
    Child(aName).AddFault("true or false");
    return aFallback;
  }
  return value->get_bool();
}

} // namespace plantaindale
