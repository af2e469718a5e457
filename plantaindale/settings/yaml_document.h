// Parses YAML into a JSON value and records the line of each value for error
// messages.
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
  std::map<std::string, int> mLines; // line number, from 1, by dotted path
};

// Parses YAML, which includes JSON. An unquoted value `${NAME}` is that of the
// environment variable; if it is unset or empty, the document lacks the value.
// Errors name `aFile` and the line.
absl::StatusOr<yaml_document>
ReadYaml(std::string_view aText, std::string_view aFile);

absl::StatusOr<yaml_document>
ReadYamlFile(const std::string& aFile);

// Returns OK if there are no faults, else one error that lists each fault on a
// line of its own: file, line, path and expected value.
absl::Status
FaultsToStatus(const std::vector<document_fault>& aFaults,
               const yaml_document& aDocument,
               std::string_view aFile);

} // namespace plantaindale
