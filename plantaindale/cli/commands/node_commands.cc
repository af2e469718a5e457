// Implements `plantaindale drain`, `undrain`, `move`, `lift` and
// `confirm-lost`.
#include <iostream>

#include "plantaindale/base/error.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/net/http_call.h"

namespace plantaindale {
namespace {

int
PostToNode(const std::string& aPlatform,
           const std::string& aNode,
           const std::string& aTarget)
{
  const auto address = FindAdminAddress(aPlatform, aNode);
  if (!address.ok()) {
    return ReportError(address.status());
  }
  const auto answer = HttpCallBlocking({ *address, "POST", aTarget, "" });
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  if (answer->mStatus != 200) {
    return ReportError(MakeError(absl::StatusCode::kInvalidArgument,
                                 "post" + aTarget,
                                 *address,
                                 answer->mBody));
  }
  std::cout << aNode << " accepted the request\n";
  return kExitSuccess;
}

int
RunPostCommand(const std::string& aDescription,
               const std::string& aTarget,
               command_arguments aArguments)
{
  option_parser options(aDescription, std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "name of the node");
  if (const auto code = options.Parse()) {
    return *code;
  }
  return PostToNode(platform.getValue(), node.getValue(), aTarget);
}

} // namespace

int
RunDrain(command_arguments aArguments)
{
  return RunPostCommand("Makes a node hand over its shards, finish its running "
                        "requests, leave the cluster and exit.",
                        "/drain",
                        std::move(aArguments));
}

int
RunUndrain(command_arguments aArguments)
{
  return RunPostCommand(
    "Cancels a drain that is not complete.", "/undrain", std::move(aArguments));
}

int
RunMove(command_arguments aArguments)
{
  option_parser options(
    "Makes the owner of a shard hand it over to another node.",
    std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& service =
    options.AddString("service", "service of the shard", true, "");
  auto& shard = options.AddInteger("shard", "index of the shard", true, 0);
  auto& target = options.AddString("to", "name of the new owner", true, "");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto view = ReadClusterView(platform.getValue());
  if (!view.ok()) {
    return ReportError(view.status());
  }
  const shard_id id{ service.getValue(), static_cast<int>(shard.getValue()) };
  const shard_entry* entry = view->FindEntry(id);
  if (entry == nullptr || !entry->HasOwner()) {
    return ReportError(MakeError(absl::StatusCode::kNotFound,
                                 "find_shard",
                                 ToText(id),
                                 "the shard has no owner"));
  }
  const std::string request = "/move?service=" + id.mService +
                              "&shard=" + std::to_string(id.mIndex) +
                              "&to=" + target.getValue();
  return PostToNode(platform.getValue(), entry->mOwner.name, request);
}

int
RunLift(command_arguments aArguments)
{
  option_parser options(
    "Allows a request to run again that is refused because backend servers "
    "ended under it. All nodes learn of it from the one that is named.",
    std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "name of any node");
  auto& request = options.AddPositional(
    "REQUEST", "32 hexadecimal digits, see `plantaindale crashes`");
  if (const auto code = options.Parse()) {
    return *code;
  }
  return PostToNode(platform.getValue(),
                    node.getValue(),
                    "/crashes/lift?request=" + request.getValue());
}

int
RunConfirmLost(command_arguments aArguments)
{
  option_parser options(
    "Confirms that the node's VM is permanently gone and runs no requests. If "
    "it still runs, two servers may own the same key.",
    std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "name of the node");
  if (const auto code = options.Parse()) {
    return *code;
  }
  return RunWithStore(platform.getValue(), [&](object_store& aStore) -> int {
    auto object = aStore.Get(kNodeKind, node.getValue());
    if (!object.ok()) {
      return ReportError(object.status());
    }
    auto record = ParseNodeRecord(*object);
    if (!record.ok()) {
      return ReportError(record.status());
    }
    record->mState = node_state::kRetired;
    record->mRetiredThrough = record->mIdentity.incarnation;
    record->mConfirmedLostThrough = record->mIdentity.incarnation;
    auto written = aStore.Write({ std::string(kNodeKind),
                                  node.getValue(),
                                  record->mRevision,
                                  Serialize(*record) });
    if (!written.ok()) {
      return ReportError(written.status());
    }
    std::cout << ToText(record->mIdentity) << " is confirmed lost\n";
    return kExitSuccess;
  });
}

} // namespace plantaindale
