#include "plantaindale/settings/node_settings.h"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "plantaindale/configuration/document_reader.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/settings/yaml_document.h"

namespace plantaindale {
namespace {

constexpr double kMaxCapacity = 1024; // cores
constexpr int kMaxHours = 24;
constexpr double kMaxRetries = 1e6;
constexpr std::chrono::milliseconds kMinEvacuationBound{ 1000 };

std::string
ReadAddress(document_reader& aReader, std::string_view aName)
{
  const std::string text = aReader.RequiredText(aName);
  if (!text.empty() && !ParseEndpoint(text).ok()) {
    aReader.Child(aName).AddFault("IP:PORT, such as 127.0.0.1:8001");
  }
  return text;
}

std::string
ReadOptionalAddress(document_reader& aReader, std::string_view aName)
{
  return aReader.Has(aName) ? ReadAddress(aReader, aName) : "";
}

// Reads a duration such as `1500ms` or `2.5s`.
std::chrono::milliseconds
ReadDuration(document_reader& aReader,
             std::string_view aName,
             std::chrono::milliseconds aFallback)
{
  if (!aReader.Has(aName)) {
    return aFallback;
  }
  const std::string text = aReader.Text(aName, "");
  absl::Duration time;
  const bool is_valid = absl::ParseDuration(text, &time) &&
                        time >= absl::ZeroDuration() &&
                        time <= absl::Hours(kMaxHours);
  if (!is_valid) {
    aReader.Child(aName).AddFault(absl::StrCat(
      "a duration from 0 to ", kMaxHours, " h, such as 1500ms or 2.5s"));
    return aFallback;
  }
  return absl::ToChronoMilliseconds(time);
}

interface_kind
ReadInterface(document_reader& aReader)
{
  const std::string name = aReader.Text("interface", "own");
  if (name == "sidecar") {
    return interface_kind::kSidecar;
  }
  if (name != "own") {
    aReader.Child("interface").AddFault("own or sidecar");
  }
  return interface_kind::kNative;
}

void
ReadDurations(document_reader aReader, node_settings& aSettings)
{
  aReader.AllowOnly({ "server_silence",
                      "server_drain",
                      "grace",
                      "callers_leave",
                      "evacuation" });
  aSettings.mServerHeartbeatTimeout =
    ReadDuration(aReader, "server_silence", aSettings.mServerHeartbeatTimeout);
  aSettings.mServerDrain =
    ReadDuration(aReader, "server_drain", aSettings.mServerDrain);
  aSettings.mGrace = ReadDuration(aReader, "grace", aSettings.mGrace);
  aSettings.mReadinessPropagation =
    ReadDuration(aReader, "callers_leave", aSettings.mReadinessPropagation);
}

void
ReadEvacuationBound(document_reader aReader, node_settings& aSettings)
{
  aSettings.mEvacuationBound =
    ReadDuration(aReader, "evacuation", aSettings.mEvacuationBound);
  const bool is_too_short =
    aSettings.mEvacuationBound > std::chrono::milliseconds(0) &&
    aSettings.mEvacuationBound < kMinEvacuationBound;
  if (is_too_short) {
    aReader.Child("evacuation").AddFault("0s or at least 1s");
  }
  aSettings.mDescription.mAwaitsEvacuations =
    aSettings.mInterface == interface_kind::kSidecar &&
    aSettings.mEvacuationBound > std::chrono::milliseconds(0);
}

void
ReadRetries(document_reader aReader, node_settings& aSettings)
{
  aReader.AllowOnly({ "per_request", "reserve" });
  aSettings.mRetries.mPerRequest = aReader.Number(
    "per_request", aSettings.mRetries.mPerRequest, 0, kMaxRetries);
  aSettings.mRetries.mReserve =
    aReader.Number("reserve", aSettings.mRetries.mReserve, 0, kMaxRetries);
}

} // namespace

absl::StatusOr<node_settings>
ReadNodeSettings(const std::string& aFile)
{
  auto document = ReadYamlFile(aFile);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<document_fault> faults;
  document_reader reader(&document->mValue, "", faults);
  reader.AllowOnly({ "name",
                     "region",
                     "failure_domain",
                     "capacity",
                     "platform",
                     "interface",
                     "listen",
                     "server",
                     "times",
                     "retries" });
  node_settings settings;
  node_description& description = settings.mDescription;
  description.mName = reader.RequiredText("name");
  description.mRegion = reader.RequiredText("region");
  description.mFailureDomain = reader.RequiredText("failure_domain");
  description.mCapacity =
    reader.Number("capacity", kDefaultCapacity, 0, kMaxCapacity);
  settings.mPlatform = ReadAddress(reader, "platform");
  document_reader listen = reader.Child("listen");
  listen.AllowOnly(
    { "caller", "peer", "control", "admin", "ready", "metrics" });
  settings.mReadyAddress = ReadOptionalAddress(listen, "ready");
  settings.mMetricsAddress = ReadOptionalAddress(listen, "metrics");
  description.mAddresses.mCaller = ReadAddress(listen, "caller");
  description.mAddresses.mPeer = ReadAddress(listen, "peer");
  description.mAddresses.mControl = ReadAddress(listen, "control");
  description.mAddresses.mAdmin = ReadAddress(listen, "admin");
  settings.mInterface = ReadInterface(reader);
  document_reader server = reader.Child("server");
  server.AllowOnly(
    { "service", "address", "calls_name_parents", "queue_late" });
  settings.mQueuesLate = server.Boolean("queue_late", false);
  settings.mCallsNameParents = server.Boolean("calls_name_parents", false);
  settings.mServer.mService = server.Text("service", "");
  settings.mServer.mAddress = ReadOptionalAddress(server, "address");
  ReadDurations(reader.Child("times"), settings);
  ReadEvacuationBound(reader.Child("times"), settings);
  ReadRetries(reader.Child("retries"), settings);
  if (absl::Status valid = FaultsToStatus(faults, *document, aFile);
      !valid.ok()) {
    return valid;
  }
  return settings;
}

} // namespace plantaindale
