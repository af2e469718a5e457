// Implements `plantaindale serve`.
#include <csignal>
#include <cstdlib>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/base/signal_hold.h"
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
  signal_hold signals;
  option_parser options("Runs the node for a backend server until SIGTERM or "
                        "`plantaindale drain`.",
                        std::move(aArguments));
  auto& file = options.AddString(
    "settings", "YAML file with the node's settings", true, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto settings = ReadNodeSettings(file.getValue());
  if (!settings.ok()) {
    return ReportError(settings.status());
  }
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging(settings->mDescription.mName);
  deployment_interface deployment =
    settings->mInterface == interface_kind::kSidecar
      ? platform::MakeSidecarInterface()
      : MakeDefaultInterface();
  node_daemon daemon(*std::move(settings), std::move(deployment));
  signals.Release();
  const absl::Status ended = daemon.Run();
  if (!ended.ok()) {
    log_event("ended", log_level::kError).With("reason", Reason(ended));
  }
  // Skips the destruction of fibers blocked on idle connections; they have no
  // state to save.
  std::_Exit(ended.ok() ? kExitSuccess : kExitFailed);
}

} // namespace plantaindale
