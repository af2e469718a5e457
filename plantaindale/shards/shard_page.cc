#include "plantaindale/shards/shard_page.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

shard_entry
EntryFromJson(const json::value& aValue)
{
  const json::array& parts = aValue.as_array();
  shard_entry entry;
  entry.mOwner.name = parts.at(0).as_string();
  entry.mOwner.incarnation = parts.at(1).to_number<std::int64_t>();
  entry.mEpoch = parts.at(2).to_number<std::int64_t>();
  return entry;
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
    for (const json::value& entry : value.at("entries").as_array()) {
      page.mEntries.push_back(EntryFromJson(entry));
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
  json::array entries;
  for (const shard_entry& entry : aPage.mEntries) {
    entries.push_back(
      json::array{ entry.mOwner.name, entry.mOwner.incarnation, entry.mEpoch });
  }
  const json::value value = { { "service", aPage.mService },
                              { "page", aPage.mPage },
                              { "entries", std::move(entries) } };
  return json::serialize(value);
}

} // namespace plantaindale
