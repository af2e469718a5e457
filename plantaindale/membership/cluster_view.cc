#include "plantaindale/membership/cluster_view.h"

#include <algorithm>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"

namespace plantaindale {
namespace {

std::string
PathOf(std::string_view aKind, std::string_view aName)
{
  std::string path(aKind);
  path += '/';
  path += aName;
  return path;
}

void
LogRefused(const stored_object& aObject, const absl::Status& aStatus)
{
  log_event("object_refused", log_level::kWarning)
    .With("kind", aObject.kind)
    .With("name", aObject.name)
    .With("reason", Reason(aStatus));
}

} // namespace

view_change
cluster_view::Apply(const object_delta& aDelta, instant aNow)
{
  if (aDelta.from_revision > mRevision) {
    return view_change::kGap;
  }
  bool is_torn = false;
  for (const stored_object& object : aDelta.objects) {
    if (object.patch_base == 0) {
      ApplyObject(object, aNow);
    } else if (!ApplyPatch(object)) {
      is_torn = true;
    }
  }
  if (is_torn && aDelta.to_revision > 0) {
    mMustRelearn = true;
    log_event("view_torn", log_level::kWarning)
      .With("from", aDelta.from_revision)
      .With("to", aDelta.to_revision)
      .With("known", mRevision);
    return view_change::kGap;
  }
  if (aDelta.from_revision == 0 && aDelta.to_revision > 0) {
    mMustRelearn = false;
  }
  if (aDelta.to_revision <= mRevision) {
    return view_change::kNothingNew;
  }
  mRevision = aDelta.to_revision;
  return view_change::kApplied;
}

void
cluster_view::ApplyObject(const stored_object& aObject, instant aNow)
{
  if (Keep(aObject)) {
    ++mGeneration;
    Interpret(aObject, aNow);
  }
}

bool
cluster_view::Keep(const stored_object& aObject)
{
  const std::string path = PathOf(aObject.kind, aObject.name);
  stored_object& kept = mObjects[path];
  if (aObject.revision <= kept.revision) {
    return false;
  }
  mByRevision.erase(kept.revision);
  mByRevision[aObject.revision] = path;
  kept = aObject;
  return true;
}

void
cluster_view::Interpret(const stored_object& aObject, instant aNow)
{
  if (aObject.kind == kNodeKind) {
    if (auto record = ParseNodeRecord(aObject); record.ok()) {
      record->mLearntAt = aNow;
      mNodes[aObject.name] = *std::move(record);
    } else {
      LogRefused(aObject, record.status());
    }
    return;
  }
  if (aObject.kind == kShardPageKind) {
    if (auto page = ParseShardPage(aObject); page.ok()) {
      KeepPage(aObject.name, *std::move(page));
    } else {
      LogRefused(aObject, page.status());
    }
    return;
  }
  if (aObject.kind == kConfigurationKind) {
    auto configuration = ParseConfiguration(aObject);
    if (!configuration.ok()) {
      LogRefused(aObject, configuration.status());
    } else if (configuration->mNumber > mConfiguration->mNumber) {
      mConfiguration = std::make_shared<const cluster_configuration>(
        *std::move(configuration));
      mConfigurationLearntAt = aNow;
    }
  }
}

bool
cluster_view::ApplyPatch(const stored_object& aPatch)
{
  const auto found = mPages.find(aPatch.name);
  const bool leads_on =
    found != mPages.end() && found->second->mRevision >= aPatch.patch_base;
  if (!leads_on) {
    return false;
  }
  if (found->second->mRevision >= aPatch.revision) {
    return true;
  }
  auto page = ApplyChanges(*found->second, aPatch);
  if (!page.ok()) {
    LogRefused(aPatch, page.status());
    return false;
  }
  stored_object kept = aPatch;
  kept.body.clear();
  kept.patch_base = 0;
  Keep(kept);
  ++mGeneration;
  KeepPage(aPatch.name, *std::move(page));
  return true;
}

void
cluster_view::KeepPage(const std::string& aName, shard_page aPage)
{
  page_pointer& kept = mPages[aName];
  mPageHistories[aName].Add(kept.get(), aPage);
  kept = std::make_shared<const shard_page>(std::move(aPage));
}

stored_object
cluster_view::ChangeAfter(std::int64_t aRevision,
                          std::string_view aKind,
                          std::string_view aName) const
{
  return ChangeOfPath(aRevision, PathOf(aKind, aName));
}

stored_object
cluster_view::ChangeOfPath(std::int64_t aRevision,
                           const std::string& aPath) const
{
  stored_object object = mObjects.at(aPath);
  const auto page = mPages.find(object.name);
  const bool is_page = object.kind == kShardPageKind && page != mPages.end() &&
                       page->second->mRevision == object.revision;
  if (!is_page) {
    return object;
  }
  const auto changes =
    mPageHistories.find(object.name)->second.ChangesAfter(aRevision);
  const bool are_few =
    changes && changes->mPlaces.size() < page->second->mEntries.size() / 2;
  if (are_few) {
    object.patch_base = changes->mBase;
    object.body = SerializeChanges(*page->second, changes->mPlaces);
  } else if (object.body.empty()) {
    object.body = Serialize(*page->second);
  }
  return object;
}

const stored_object*
cluster_view::ConfigurationObject() const
{
  const auto found =
    mObjects.find(PathOf(kConfigurationKind, kConfigurationName));
  return found == mObjects.end() ? nullptr : &found->second;
}

object_delta
cluster_view::ChangesAfter(std::int64_t aRevision) const
{
  object_delta delta;
  delta.from_revision = aRevision;
  delta.to_revision = mRevision;
  for (auto change = mByRevision.upper_bound(aRevision);
       change != mByRevision.end();
       ++change) {
    delta.objects.push_back(ChangeOfPath(aRevision, change->second));
  }
  return delta;
}

const node_record*
cluster_view::FindNode(std::string_view aName) const
{
  const auto found = mNodes.find(aName);
  return found == mNodes.end() ? nullptr : &found->second;
}

const node_record*
cluster_view::FindNode(const node_identity& aIdentity) const
{
  const node_record* record = FindNode(aIdentity.name);
  const bool same =
    record != nullptr && record->mIdentity.incarnation == aIdentity.incarnation;
  return same ? record : nullptr;
}

instant
cluster_view::LearntAt(std::string_view aName) const
{
  const node_record* record = FindNode(aName);
  return record == nullptr ? kNever : record->mLearntAt;
}

cluster_view::page_pointer
cluster_view::FindPage(std::string_view aService, int aPage) const
{
  const auto found = mPages.find(PageName(aService, aPage));
  return found == mPages.end() ? nullptr : found->second;
}

const shard_entry*
cluster_view::FindEntry(const shard_id& aShard) const
{
  const page_pointer page =
    FindPage(aShard.mService, aShard.mIndex / kShardsPerPage);
  const std::size_t place =
    static_cast<std::size_t>(aShard.mIndex % kShardsPerPage);
  if (page == nullptr || place >= page->mEntries.size()) {
    return nullptr;
  }
  return &page->mEntries[place];
}

bool
cluster_view::IsRetired(const node_identity& aIdentity) const
{
  const node_record* record = FindNode(aIdentity.name);
  return record != nullptr && aIdentity.incarnation <= record->mRetiredThrough;
}

bool
cluster_view::MayAct(const node_identity& aIdentity) const
{
  const node_record* record = FindNode(aIdentity);
  return record != nullptr && record->IsActive();
}

} // namespace plantaindale
