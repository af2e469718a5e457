// The backend server stand-in program; see server.h for what it serves.
#include <csignal>
#include <iostream>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "stand_ins/backend_server/server.h"
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <tclap/CmdLine.h>

namespace plantaindale::stand_ins {
namespace {

server_settings
ReadSettings(int argc, char** argv)
{
  using text = TCLAP::ValueArg<std::string>;
  using number = TCLAP::ValueArg<int>;
  TCLAP::CmdLine line("A backend server stand-in.", ' ', "0.1.0");
  text address("", "listen", "address to listen on", true, "", "IP:PORT", line);
  text announce(
    "", "announce-to", "the node's admin address", true, "", "IP:PORT", line);
  text service("", "service", "name of the service", true, "", "name", line);
  text log("", "run-log", "file to log runs to", false, "", "file", line);
  number slots(
    "", "slots", "largest number of concurrent requests", false, 12, "n", line);
  number connections(
    "", "connections", "largest number of connections", false, 130, "n", line);
  number cold(
    "", "cold-ms", "cold start time of a shard", false, 0, "ms", line);
  TCLAP::ValueArg<double> rate(
    "", "rate-limit", "requests per second to ask for", false, 0, "n", line);
  TCLAP::SwitchArg fences("",
                          "checks-fences",
                          "refuse runs with an old epoch or an expired lease",
                          line);
  TCLAP::SwitchArg grants(
    "", "keeps-grants", "refuse runs for keys that it holds no grant of", line);
  number announce_delay("",
                        "announce-delay-ms",
                        "time before the first announcement",
                        false,
                        0,
                        "ms",
                        line);
  line.parse(argc, argv);
  server_settings settings;
  settings.mAnnounced = { service.getValue(),
                          address.getValue(),
                          slots.getValue(),
                          connections.getValue(),
                          fences.getValue() };
  settings.mAnnounced.mKeepsGrants = grants.getValue();
  settings.mAnnounceDelayMs = announce_delay.getValue();
  settings.mAnnounceTo = announce.getValue();
  settings.mRunLog = log.getValue();
  settings.mColdStartMs = cold.getValue();
  settings.mRateLimit = rate.getValue();
  return settings;
}

int
Run(server_settings aSettings)
{
  StartLogging("backend_server");
  boost::asio::io_context context(1);
  InstallFiberScheduler(context);
  server running(context, std::move(aSettings));
  if (absl::Status listening = running.Listen(); !listening.ok()) {
    std::cerr << Reason(listening) << "\n";
    return 1;
  }
  running.AnnounceLoop();
  return 0;
}

} // namespace
} // namespace plantaindale::stand_ins

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  return plantaindale::stand_ins::Run(
    plantaindale::stand_ins::ReadSettings(argc, argv));
}
