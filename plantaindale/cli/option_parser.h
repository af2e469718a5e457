// option_parser is a wrapper around TCLAP that defines the options shared by
// several commands.
//
//   option_parser options("List nodes", arguments);
//   auto& platform = options.AddPlatform();
//   if (auto code = options.Parse()) { return *code; }
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantaindale/cli/command_table.h"
#include <tclap/CmdLine.h>

namespace plantaindale {

inline constexpr char kVersion[] = "0.1.0";

class option_parser
{
public:
  // The first of `aArguments` is the command's name.
  option_parser(const std::string& aDescription, command_arguments aArguments);
  option_parser(const option_parser&) = delete;
  option_parser& operator=(const option_parser&) = delete;
  ~option_parser();

  // The returned references are valid for the lifetime of the parser.
  TCLAP::ValueArg<std::string>& AddPlatform();
  TCLAP::ValueArg<std::string>& AddOutputFormat();
  TCLAP::ValueArg<std::string>& AddString(const std::string& aName,
                                          const std::string& aHelp,
                                          bool aRequired,
                                          const std::string& aDefault);
  TCLAP::ValueArg<std::int64_t>& AddInteger(const std::string& aName,
                                            const std::string& aHelp,
                                            bool aRequired,
                                            std::int64_t aDefault);
  TCLAP::UnlabeledValueArg<std::string>& AddPositional(
    const std::string& aName,
    const std::string& aHelp);
  // Returns an exit code if the command must not run: after --help, --version
  // or an invalid command line, for which it prints an error.
  std::optional<int> Parse();

private:
  command_arguments mArguments;
  TCLAP::CmdLine mCommandLine;
  std::vector<std::unique_ptr<TCLAP::Arg>> mOptions;
  std::unique_ptr<TCLAP::ValuesConstraint<std::string>> mFormats;
};

} // namespace plantaindale
