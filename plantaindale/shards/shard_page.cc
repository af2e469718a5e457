#include "plantaindale/shards/shard_page.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

std::int64_t
CountFromJson(const json::value& aValue)
{
  const auto count = aValue.to_number<std::int64_t>();
  if (count < 0 || count > kMaxStoredNumber) {
    throw std::invalid_argument(
      absl::StrCat("expected a number from 0 to 2^53, got ", count));
  }
  return count;
}

// The stored form lists each owner once and run-length encodes equal entries.
// It is compact because every change of a page is sent to every node.
std::vector<node_identity>
OwnersFromJson(const json::value& aValue)
{
  std::vector<node_identity> owners;
  for (const json::value& owner : aValue.as_array()) {
    owners.push_back(MakeIdentity(std::string(owner.at(0).as_string()),
                                  CountFromJson(owner.at(1))));
  }
  return owners;
}

// A run of equal entries. Stored as [owner index, epoch, length] with an
// optional handover as the fourth element.
struct entry_run
{
  shard_entry mEntry;
  std::size_t mLength = 0;
};

entry_run
RunFromJson(const json::value& aValue,
            const std::vector<node_identity>& aOwners)
{
  const json::array& parts = aValue.as_array();
  entry_run run;
  run.mEntry.mOwner = aOwners.at(parts.at(0).to_number<std::size_t>());
  run.mEntry.mEpoch = CountFromJson(parts.at(1));
  run.mLength = parts.at(2).to_number<std::size_t>();
  if (parts.size() > 3) {
    run.mEntry.mHandover = parts.at(3).as_string();
  }
  if (run.mLength > kShardsPerPage) {
    throw std::invalid_argument(absl::StrCat("run of ",
                                             run.mLength,
                                             " entries; a page holds at most ",
                                             kShardsPerPage));
  }
  return run;
}

// Builds the `owners` and `runs` lists of the stored form.
class run_writer
{
public:
  void Append(const shard_entry& aEntry, std::size_t aLength)
  {
    const node_identity& owner = aEntry.mOwner;
    const auto [found, is_new] = mIndices.try_emplace(owner, mIndices.size());
    if (is_new) {
      mOwners.push_back(json::array{ owner.name, owner.incarnation });
    }
    json::array run{ found->second, aEntry.mEpoch, aLength };
    if (!aEntry.mHandover.empty()) {
      run.push_back(json::value(aEntry.mHandover));
    }
    mRuns.push_back(std::move(run));
  }
  json::array TakeOwners() { return std::move(mOwners); }
  json::array TakeRuns() { return std::move(mRuns); }

private:
  std::map<node_identity, std::size_t> mIndices;
  json::array mOwners;
  json::array mRuns;
};

absl::Status
ParseError(const stored_object& aObject, std::string_view aReason)
{
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "parse_shard_page",
                   aObject.name,
                   aReason);
}

} // namespace

shard_page
MakeEmptyPage(std::string aService, int aPage, int aShardCount)
{
  shard_page page;
  page.mService = std::move(aService);
  page.mPage = aPage;
  const int remaining = aShardCount - page.FirstShard();
  page.mEntries.resize(std::clamp(remaining, 0, kShardsPerPage));
  return page;
}

std::int64_t
shard_page::NextEpoch(std::int64_t aFirst) const
{
  std::int64_t highest = 0;
  for (const shard_entry& entry : mEntries) {
    highest = std::max(highest, entry.mEpoch);
  }
  return std::max(highest + 1, aFirst);
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
    if (page.mPage < 0 || PageName(page.mService, page.mPage) != aObject.name) {
      return ParseError(aObject,
                        absl::StrCat("expected the page of this name, got ",
                                     PageName(page.mService, page.mPage)));
    }
    const auto owners = OwnersFromJson(value.at("owners"));
    for (const json::value& part : value.at("runs").as_array()) {
      const entry_run run = RunFromJson(part, owners);
      if (page.mEntries.size() + run.mLength > kShardsPerPage) {
        return ParseError(aObject,
                          absl::StrCat("runs add up to more than the ",
                                       kShardsPerPage,
                                       " entries that a page holds"));
      }
      page.mEntries.insert(page.mEntries.end(), run.mLength, run.mEntry);
    }
    page.mRevision = aObject.revision;
    return page;
  } catch (const std::exception& error) {
    return ParseError(aObject, error.what());
  }
}

absl::StatusOr<shard_page>
ApplyChanges(const shard_page& aPage, const stored_object& aPatch)
{
  try {
    const json::value value = json::parse(aPatch.body);
    const auto owners = OwnersFromJson(value.at("owners"));
    const json::array& indices = value.at("places").as_array();
    const json::array& runs = value.at("runs").as_array();
    shard_page page = aPage;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const auto index = indices.at(i).to_number<std::size_t>();
      const entry_run run = RunFromJson(runs.at(i), owners);
      if (index > page.mEntries.size() ||
          run.mLength > page.mEntries.size() - index) {
        return ParseError(aPatch,
                          absl::StrCat("run of ",
                                       run.mLength,
                                       " entries at index ",
                                       index,
                                       " exceeds the page of ",
                                       page.mEntries.size(),
                                       " entries"));
      }
      std::fill_n(page.mEntries.begin() + static_cast<std::ptrdiff_t>(index),
                  run.mLength,
                  run.mEntry);
    }
    page.mRevision = aPatch.revision;
    return page;
  } catch (const std::exception& error) {
    return ParseError(aPatch, error.what());
  }
}

std::string
Serialize(const shard_page& aPage)
{
  run_writer writer;
  const std::vector<shard_entry>& entries = aPage.mEntries;
  for (std::size_t begin = 0; begin < entries.size();) {
    std::size_t end = begin;
    while (end < entries.size() && entries[end] == entries[begin]) {
      ++end;
    }
    writer.Append(entries[begin], end - begin);
    begin = end;
  }
  const json::value value = { { "service", aPage.mService },
                              { "page", aPage.mPage },
                              { "owners", writer.TakeOwners() },
                              { "runs", writer.TakeRuns() } };
  return json::serialize(value);
}

std::string
SerializeChanges(const shard_page& aPage, std::span<const int> aIndices)
{
  run_writer writer;
  json::array indices;
  for (std::size_t begin = 0; begin < aIndices.size();) {
    const auto first = static_cast<std::size_t>(aIndices[begin]);
    const shard_entry& entry = aPage.mEntries[first];
    std::size_t length = 1;
    while (begin + length < aIndices.size() &&
           static_cast<std::size_t>(aIndices[begin + length]) ==
             first + length &&
           aPage.mEntries[first + length] == entry) {
      ++length;
    }
    indices.push_back(first);
    writer.Append(entry, length);
    begin += length;
  }
  const json::value value = { { "places", std::move(indices) },
                              { "owners", writer.TakeOwners() },
                              { "runs", writer.TakeRuns() } };
  return json::serialize(value);
}

} // namespace plantaindale
