// Reads YAML into the JSON values that the project checks, and remembers on
// which line each value stands.
//
//   auto document = ReadYaml(text, "node.yaml");
//   document->mLines["listen.peer"]; // 7
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include <boost/json/value.hpp>

namespace plantaindale {

struct yaml_document
{
  boost::json::value mValue;
  std::map<std::string, int> mLines; // counted from 1, by dotted path
};

// JSON is YAML too. Errors name `aFile` and the line.
absl::StatusOr<yaml_document>
ReadYaml(std::string_view aText, std::string_view aFile);

absl::StatusOr<yaml_document>
ReadYamlFile(const std::string& aFile);

// One error that lists every fault, a line each: file, line, place and what
// was expected.
absl::Status
FaultsToStatus(const std::vector<document_fault>& aFaults,
               const yaml_document& aDocument,
               std::string_view aFile);

} // namespace plantaindale
