// option_parser gathers the options that the commands share over TCLAP, so
// that each command lists only what is its own.
//
//   option_parser options("List nodes", arguments);
//   auto& platform = options.Platform();
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

  // Commands. References stay valid for the parser's life.
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
  // The exit code when the command is to end here: after --help, --version
  // or an error, which is printed.
  std::optional<int> Parse();

private:
  command_arguments mArguments;
  TCLAP::CmdLine mCommandLine;
  std::vector<std::unique_ptr<TCLAP::Arg>> mOptions;
  std::unique_ptr<TCLAP::ValuesConstraint<std::string>> mFormats;
};

} // namespace plantaindale
