// Implements `plantaindale nodes`, `shards`, `owner`, `dump` and `crashes`.
#include <iomanip>
#include <iostream>

#include "plantaindale/base/error.h"
#include "plantaindale/cli/command_table.h"
#include "plantaindale/cli/exit_code.h"
#include "plantaindale/cli/option_parser.h"
#include "plantaindale/cli/platform_access.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/observe/state_dump.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr int kColumnWidth = 16;

// Prints `aRows`, which must all have the same members, as a table or as JSON.
void
PrintRows(const json::array& aRows, const std::string& aFormat)
{
  if (aFormat == "json") {
    std::cout << PrettyPrint(aRows);
    return;
  }
  if (aRows.empty()) {
    return;
  }
  for (const auto& member : aRows.front().as_object()) {
    std::cout << std::left << std::setw(kColumnWidth) << member.key() << " ";
  }
  std::cout << "\n";
  for (const json::value& row : aRows) {
    for (const auto& member : row.as_object()) {
      const std::string cell = member.value().is_string()
                                 ? std::string(member.value().get_string())
                                 : json::serialize(member.value());
      std::cout << std::left << std::setw(kColumnWidth) << cell << " ";
    }
    std::cout << "\n";
  }
}

json::object
NodeRow(const node_record& aRecord)
{
  return { { "node", ToText(aRecord.mIdentity) },
           { "state", ToText(aRecord.mState) },
           { "draining", aRecord.mDraining },
           { "failure_domain", aRecord.mFailureDomain },
           { "service", aRecord.mServer ? aRecord.mServer->mService : "-" },
           { "slots", aRecord.mServer ? aRecord.mServer->mSlots : 0 },
           { "caller", aRecord.mAddresses.mCaller },
           { "admin", aRecord.mAddresses.mAdmin } };
}

json::object
ShardRow(const cluster_view& aView, const shard_id& aShard)
{
  const shard_entry* entry = aView.FindEntry(aShard);
  const bool has_owner = entry != nullptr && entry->HasOwner();
  const bool acts = has_owner && aView.IsActiveIncarnation(entry->mOwner);
  return { { "shard", ToText(aShard) },
           { "owner", has_owner ? ToText(entry->mOwner) : "-" },
           { "epoch", has_owner ? entry->mEpoch : 0 },
           { "owner_acts", acts } };
}

// Prints what a node serves at `aPath` of its admin address.
int
PrintFromNode(const std::string& aDescription,
              const std::string& aPath,
              command_arguments aArguments)
{
  option_parser options(aDescription, std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& node = options.AddPositional("NODE", "name of the node");
  if (const auto code = options.Parse()) {
    return *code;
  }
  const auto address = FindAdminAddress(platform.getValue(), node.getValue());
  if (!address.ok()) {
    return ReportError(address.status());
  }
  const auto answer = HttpCallBlocking({ *address, "GET", aPath, "" });
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  std::cout << answer->mBody;
  return kExitSuccess;
}

} // namespace

int
RunNodes(command_arguments aArguments)
{
  option_parser options("Lists the nodes recorded in the metadata store.",
                        std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& output = options.AddOutputFormat();
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto view = ReadClusterView(platform.getValue());
  if (!view.ok()) {
    return ReportError(view.status());
  }
  json::array rows;
  for (const auto& [name, record] : view->Nodes()) {
    rows.push_back(NodeRow(record));
  }
  PrintRows(rows, output.getValue());
  return kExitSuccess;
}

int
RunShards(command_arguments aArguments)
{
  option_parser options("Lists shards and their owners.",
                        std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& output = options.AddOutputFormat();
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto view = ReadClusterView(platform.getValue());
  if (!view.ok()) {
    return ReportError(view.status());
  }
  json::array rows;
  for (const service_configuration& service : view->Configuration().mServices) {
    for (int shard = 0; shard < service.mShards; ++shard) {
      rows.push_back(ShardRow(*view, { service.mName, shard }));
    }
  }
  PrintRows(rows, output.getValue());
  return kExitSuccess;
}

int
RunOwner(command_arguments aArguments)
{
  option_parser options("Prints the owner of a key.", std::move(aArguments));
  auto& platform = options.AddPlatform();
  auto& output = options.AddOutputFormat();
  auto& service_name =
    options.AddString("service", "service of the key", true, "");
  auto& key = options.AddPositional("KEY", "the key");
  if (const auto code = options.Parse()) {
    return *code;
  }
  auto view = ReadClusterView(platform.getValue());
  if (!view.ok()) {
    return ReportError(view.status());
  }
  const service_configuration* service =
    view->Configuration().Find(service_name.getValue());
  if (service == nullptr || !service->mKey) {
    return ReportError(MakeError(absl::StatusCode::kNotFound,
                                 "find_service",
                                 service_name.getValue(),
                                 "expected a service that is sharded by key"));
  }
  const shard_id shard{ service->mName,
                        ShardOfKey(key.getValue(), service->mShards) };
  PrintRows({ ShardRow(*view, shard) }, output.getValue());
  return kExitSuccess;
}

int
RunDump(command_arguments aArguments)
{
  return PrintFromNode(
    "Prints the state of one node as JSON.", "/dump", std::move(aArguments));
}

int
RunCrashes(command_arguments aArguments)
{
  return PrintFromNode("Prints the requests under which backend servers have "
                       "ended, as one node knows them, as JSON.",
                       "/crashes",
                       std::move(aArguments));
}

} // namespace plantaindale
