// `plantaindale drain`, `undrain`, `move` and `confirm-lost`: what operators
// tell nodes, or the platform of nodes.
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
  std::cout << aNode << " was told\n";
  return kExitSuccess;
}

int
RunPostCommand(const std::string& aDescription,
               const std::string& aTarget,
               command_arguments aArguments)
{
  option_parser options(aDescription, std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "the node's name");
  if (const auto code = options.Parse()) {
    return *code;
  }
  return PostToNode(platform.getValue(), node.getValue(), aTarget);
}

} // namespace

int
RunDrain(command_arguments aArguments)
{
  return RunPostCommand("Has a node hand its shards over, finish what it "
                        "runs, leave and end.",
                        "/drain",
                        std::move(aArguments));
}

int
RunUndrain(command_arguments aArguments)
{
  return RunPostCommand("Takes back a drain that isn't complete.",
                        "/undrain",
                        std::move(aArguments));
}

int
RunMove(command_arguments aArguments)
{
  option_parser options("Has the owner of a shard hand it to another node.",
                        std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& service = options.AddString("service", "the shard's service", true, "");
  auto& shard = options.AddInteger("shard", "the shard's number", true, 0);
  auto& target = options.AddString("to", "the new owner", true, "");
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
    return ReportError(MakeError(
      absl::StatusCode::kNotFound, "find_shard", ToText(id), "has no owner"));
  }
  const std::string request = "/move?service=" + id.mService +
                              "&shard=" + std::to_string(id.mIndex) +
                              "&to=" + target.getValue();
  return PostToNode(platform.getValue(), entry->mOwner.name, request);
}

int
RunConfirmLost(command_arguments aArguments)
{
  option_parser options(
    "Gives the operator's word that the node's VM is gone for good and runs "
    "nothing any more. If that is wrong two servers may own one key.",
    std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "the node's name");
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
