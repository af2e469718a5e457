#include "plantaindale/settings/node_settings.h"

#include "plantaindale/configuration/document_reader.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/settings/yaml_document.h"

namespace plantaindale {
namespace {

std::string
ReadAddress(document_reader& aReader, std::string_view aName)
{
  const std::string text = aReader.RequiredText(aName);
  if (!text.empty() && !ParseEndpoint(text).ok()) {
    aReader.Child(aName).Fault("IP:PORT, such as 127.0.0.1:8001");
  }
  return text;
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
  reader.AllowOnly(
    { "name", "region", "failure_domain", "platform", "listen" });
  node_settings settings;
  node_description& description = settings.mDescription;
  description.mName = reader.RequiredText("name");
  description.mRegion = reader.RequiredText("region");
  description.mFailureDomain = reader.RequiredText("failure_domain");
  settings.mPlatform = ReadAddress(reader, "platform");
  document_reader listen = reader.Child("listen");
  listen.AllowOnly({ "caller", "peer", "control", "admin" });
  description.mAddresses.mCaller = ReadAddress(listen, "caller");
  description.mAddresses.mPeer = ReadAddress(listen, "peer");
  description.mAddresses.mControl = ReadAddress(listen, "control");
  description.mAddresses.mAdmin = ReadAddress(listen, "admin");
  if (absl::Status sound = FaultsToStatus(faults, *document, aFile);
      !sound.ok()) {
    return sound;
  }
  return settings;
}

} // namespace plantaindale
