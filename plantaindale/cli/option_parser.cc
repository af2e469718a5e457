#include "plantaindale/cli/option_parser.h"

#include <iostream>

#include "plantaindale/cli/exit_code.h"

namespace plantaindale {

option_parser::option_parser(const std::string& aDescription,
                             command_arguments aArguments)
  : mArguments(std::move(aArguments))
  , mCommandLine(aDescription, ' ', kVersion)
{
  mCommandLine.setExceptionHandling(false);
}

option_parser::~option_parser() = default;

TCLAP::ValueArg<std::string>&
option_parser::AddPlatform()
{
  return AddString("platform", "the platform's address, IP:PORT", true, "");
}

TCLAP::ValueArg<std::string>&
option_parser::AddOutputFormat()
{
  std::vector<std::string> formats{ "table", "json" };
  mFormats = std::make_unique<TCLAP::ValuesConstraint<std::string>>(formats);
  auto option = std::make_unique<TCLAP::ValueArg<std::string>>(
    "", "output", "how to print", false, "table", mFormats.get(), mCommandLine);
  auto& reference = *option;
  mOptions.push_back(std::move(option));
  return reference;
}

TCLAP::ValueArg<std::string>&
option_parser::AddString(const std::string& aName,
                         const std::string& aHelp,
                         bool aRequired,
                         const std::string& aDefault)
{
  auto option = std::make_unique<TCLAP::ValueArg<std::string>>(
    "", aName, aHelp, aRequired, aDefault, "text", mCommandLine);
  auto& reference = *option;
  mOptions.push_back(std::move(option));
  return reference;
}

TCLAP::ValueArg<std::int64_t>&
option_parser::AddInteger(const std::string& aName,
                          const std::string& aHelp,
                          bool aRequired,
                          std::int64_t aDefault)
{
  auto option = std::make_unique<TCLAP::ValueArg<std::int64_t>>(
    "", aName, aHelp, aRequired, aDefault, "number", mCommandLine);
  auto& reference = *option;
  mOptions.push_back(std::move(option));
  return reference;
}

TCLAP::UnlabeledValueArg<std::string>&
option_parser::AddPositional(const std::string& aName, const std::string& aHelp)
{
  auto option = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
    aName, aHelp, true, "", aName, mCommandLine);
  auto& reference = *option;
  mOptions.push_back(std::move(option));
  return reference;
}

std::optional<int>
option_parser::Parse()
{
  try {
    mCommandLine.parse(mArguments);
    return std::nullopt;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << mArguments.front() << ": " << error.error() << " "
              << error.argId() << "\nTry --help.\n";
    return kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}

} // namespace plantaindale
