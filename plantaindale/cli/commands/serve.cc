// `plantaindale serve`: runs the node beside a backend server.
#include <csignal>
#include <cstdlib>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/node/node_daemon.h"
#include "plantaindale/settings/node_settings.h"
#include "platform/sidecar_interface.h"

namespace plantaindale {

int
RunServe(command_arguments aArguments)
{
  option_parser options("Runs the node beside a backend server until it is "
                        "told to leave by SIGTERM or `plantaindale drain`.",
                        std::move(aArguments));
  auto& file =
    options.AddString("settings", "the node's settings, YAML", true, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto settings = ReadNodeSettings(file.getValue());
  if (!settings.ok()) {
    return ReportError(settings.status());
  }
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging(settings->mDescription.mName);
  deployment_interface site = settings->mInterface == interface_kind::kSidecar
                                ? platform::MakeSidecarInterface()
                                : MakeDefaultInterface();
  node_daemon daemon(*std::move(settings), std::move(site));
  const absl::Status ended = daemon.Run();
  if (!ended.ok()) {
    log_event("ended", log_level::kError).With("reason", Reason(ended));
  }
  // Fibers that wait on idle connections hold nothing that must be saved.
  std::_Exit(ended.ok() ? kExitSuccess : kExitFailed);
}

} // namespace plantaindale
