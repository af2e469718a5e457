#include "plantaindale/shards/shard_page.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

// The stored form names each owner once, and runs of equal entries together:
// a change of the page goes to every node.
std::vector<node_identity>
OwnersFromJson(const json::value& aValue)
{
  std::vector<node_identity> owners;
  for (const json::value& owner : aValue.as_array()) {
    owners.push_back(MakeIdentity(std::string(owner.at(0).as_string()),
                                  owner.at(1).to_number<std::int64_t>()));
  }
  return owners;
}

// Appends a run: place of the owner, epoch, length and, if any, handover.
void
AppendRun(const json::value& aValue,
          const std::vector<node_identity>& aOwners,
          std::vector<shard_entry>& aEntries)
{
  const json::array& parts = aValue.as_array();
  shard_entry entry;
  entry.mOwner = aOwners.at(parts.at(0).to_number<std::size_t>());
  entry.mEpoch = parts.at(1).to_number<std::int64_t>();
  const auto length = parts.at(2).to_number<std::size_t>();
  if (parts.size() > 3) {
    entry.mHandover = parts.at(3).as_string();
  }
  if (aEntries.size() + length > kShardsPerPage) {
    throw std::invalid_argument("more entries than a page holds");
  }
  aEntries.insert(aEntries.end(), length, entry);
}

json::value
RunToJson(const shard_entry& aEntry, std::size_t aOwner, std::size_t aLength)
{
  json::array run{ aOwner, aEntry.mEpoch, aLength };
  if (!aEntry.mHandover.empty()) {
    run.push_back(json::value(aEntry.mHandover));
  }
  return run;
}

} // namespace

shard_page
MakeEmptyPage(std::string aService, int aPage, int aShardCount)
{
  shard_page page;
  page.mService = std::move(aService);
  page.mPage = aPage;
  const int left = aShardCount - page.FirstShard();
  page.mEntries.resize(std::clamp(left, 0, kShardsPerPage));
  return page;
}

std::int64_t
shard_page::NextEpoch() const
{
  std::int64_t highest = 0;
  for (const shard_entry& entry : mEntries) {
    highest = std::max(highest, entry.mEpoch);
  }
  return highest + 1;
}

int
PageCount(int aShardCount)
{
  return (aShardCount + kShardsPerPage - 1) / kShardsPerPage;
}

std::string
PageName(std::string_view aService, int aPage)
{
  return absl::StrCat(std::string(aService), ".", aPage);
}

absl::StatusOr<shard_page>
ParseShardPage(const stored_object& aObject)
{
  try {
    const json::value value = json::parse(aObject.body);
    shard_page page;
    page.mService = value.at("service").as_string();
    page.mPage = value.at("page").to_number<int>();
    const auto owners = OwnersFromJson(value.at("owners"));
    for (const json::value& run : value.at("runs").as_array()) {
      AppendRun(run, owners, page.mEntries);
    }
    page.mRevision = aObject.revision;
    return page;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_shard_page",
                     aObject.name,
                     error.what());
  }
}

std::string
Serialize(const shard_page& aPage)
{
  std::map<node_identity, std::size_t> places;
  json::array owners;
  json::array runs;
  const std::vector<shard_entry>& entries = aPage.mEntries;
  for (std::size_t begin = 0; begin < entries.size();) {
    std::size_t end = begin;
    while (end < entries.size() && entries[end] == entries[begin]) {
      ++end;
    }
    const node_identity& owner = entries[begin].mOwner;
    const auto [place, is_new] = places.try_emplace(owner, places.size());
    if (is_new) {
      owners.push_back(json::array{ owner.name, owner.incarnation });
    }
    runs.push_back(RunToJson(entries[begin], place->second, end - begin));
    begin = end;
  }
  const json::value value = { { "service", aPage.mService },
                              { "page", aPage.mPage },
                              { "owners", std::move(owners) },
                              { "runs", std::move(runs) } };
  return json::serialize(value);
}

} // namespace plantaindale
