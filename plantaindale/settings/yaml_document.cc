#include "plantaindale/settings/yaml_document.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

namespace plantaindale {
namespace {

namespace json = boost::json;

// The value of the environment variable if the text is `${NAME}`, else the
// text.
std::string
Substituted(const std::string& aText)
{
  const bool is_reference = aText.starts_with("${") && aText.ends_with('}');
  if (!is_reference) {
    return aText;
  }
  const std::string name = aText.substr(2, aText.size() - 3);
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? "" : value;
}

json::value
ScalarToJson(const YAML::Node& aNode)
{
  if (aNode.Tag() == "!") { // quoted scalars have this tag
    return json::value(aNode.Scalar());
  }
  const std::string text = Substituted(aNode.Scalar());
  if (text == "true" || text == "false") {
    return text == "true";
  }
  if (text == "null" || text == "~" || text.empty()) {
    return nullptr;
  }
  const char* end = text.data() + text.size();
  std::int64_t integer = 0;
  if (const auto parsed = std::from_chars(text.data(), end, integer);
      parsed.ec == std::errc() && parsed.ptr == end) {
    return integer;
  }
  double number = 0;
  if (const auto parsed = std::from_chars(text.data(), end, number);
      parsed.ec == std::errc() && parsed.ptr == end) {
    return number;
  }
  return json::value(text);
}

json::value
ToJson(const YAML::Node& aNode,
       const std::string& aPath,
       std::map<std::string, int>& aLines)
{
  aLines[aPath] = aNode.Mark().line + 1;
  if (aNode.IsMap()) {
    json::object object;
    for (const auto& member : aNode) {
      const std::string name = member.first.as<std::string>();
      const std::string path = aPath.empty() ? name : aPath + "." + name;
      json::value value = ToJson(member.second, path, aLines);
      const bool is_unset_variable = value.is_null() &&
                                     member.second.IsScalar() &&
                                     member.second.Scalar().starts_with("${");
      if (is_unset_variable) {
        continue;
      }
      object[name] = std::move(value);
      aLines[path] = member.first.Mark().line + 1;
    }
    return object;
  }
  if (aNode.IsSequence()) {
    json::array array;
    for (const auto& item : aNode) {
      const std::string path = absl::StrCat(aPath, ".", array.size());
      array.push_back(ToJson(item, path, aLines));
    }
    return array;
  }
  return aNode.IsScalar() ? ScalarToJson(aNode) : json::value(nullptr);
}

} // namespace

absl::StatusOr<yaml_document>
ReadYaml(std::string_view aText, std::string_view aFile)
{
  try {
    yaml_document document;
    document.mValue =
      ToJson(YAML::Load(std::string(aText)), "", document.mLines);
    return document;
  } catch (const YAML::Exception& error) {
    return MakeError(
      absl::StatusCode::kInvalidArgument,
      "read_yaml",
      aFile,
      absl::StrCat("line ", error.mark.line + 1, ": ", error.msg));
  }
}

absl::StatusOr<yaml_document>
ReadYamlFile(const std::string& aFile)
{
  std::ifstream input(aFile);
  if (!input) {
    return MakeError(
      absl::StatusCode::kNotFound, "read_file", aFile, "cannot open file");
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ReadYaml(text.str(), aFile);
}

absl::Status
FaultsToStatus(const std::vector<document_fault>& aFaults,
               const yaml_document& aDocument,
               std::string_view aFile)
{
  if (aFaults.empty()) {
    return absl::OkStatus();
  }
  std::string lines;
  for (const document_fault& fault : aFaults) {
    const auto line = aDocument.mLines.find(fault.mFieldPath);
    const std::string at =
      line == aDocument.mLines.end() ? "" : absl::StrCat(":", line->second);
    absl::StrAppend(&lines,
                    "\n  ",
                    std::string(aFile),
                    at,
                    ": ",
                    fault.mFieldPath,
                    ": expected ",
                    fault.mExpected);
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "check_document",
                   aFile,
                   absl::StrCat(aFaults.size(), " faults:", lines));
}

} // namespace plantaindale
