#include "plantaindale/membership/cluster_view.h"

#include <algorithm>
#include <utility>

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

std::string
ObjectPath(std::string_view aKind, std::string_view aName)
{
  std::string path(aKind);
  path += '/';
  path += aName;
  return path;
}

// An object with an empty body was logged where it was read.
void
LogParseFailure(const stored_object& aObject, const absl::Status& aStatus)
{
  if (aObject.body.empty()) {
    return;
  }
  log_event("object_refused", log_level::kWarning)
    .With("kind", aObject.kind)
    .With("name", aObject.name)
    .With("reason", Reason(aStatus));
}

// Active, fenced, then retired or left: the order in which the record of one
// incarnation changes.
int
ProgressOf(node_state aState)
{
  switch (aState) {
    case node_state::kActive:
      return 0;
    case node_state::kFenced:
      return 1;
    case node_state::kRetired:
    case node_state::kLeft:
      return 2;
  }
  return 0;
}

bool
IsEarlier(const node_record& aRecord, const node_record& aKnown)
{
  const auto order = [](const node_record& aRecord) {
    return std::pair(aRecord.mIdentity.incarnation, ProgressOf(aRecord.mState));
  };
  return order(aRecord) < order(aKnown);
}

// Takes over the entries of `aKnown` that are newer. Returns whether there are
// any.
bool
KeepNewerEntries(const shard_page& aKnown, shard_page& aPage)
{
  bool has_newer = aKnown.mEntries.size() > aPage.mEntries.size();
  aPage.mEntries.resize(
    std::max(aPage.mEntries.size(), aKnown.mEntries.size()));
  for (std::size_t i = 0; i < aKnown.mEntries.size(); ++i) {
    if (aKnown.mEntries[i].mEpoch > aPage.mEntries[i].mEpoch) {
      aPage.mEntries[i] = aKnown.mEntries[i];
      has_newer = true;
    }
  }
  return has_newer;
}

} // namespace

view_change
cluster_view::Apply(const object_delta& aDelta, instant aNow)
{
  if (aDelta.from_revision > mRevision) {
    return view_change::kGap;
  }
  if (aDelta.to_revision > 0 && EraOf(aDelta.to_revision) < mEra) {
    return view_change::kNoChange; // from before the store was restored
  }
  ObserveEra(EraOf(aDelta.to_revision), aNow);
  bool has_patch_without_base = false;
  for (const stored_object& object : aDelta.objects) {
    if (object.patch_base == 0) {
      ApplyObject(object, aNow);
    } else if (object.kind == kConfigurationKind) {
      ApplyConfigurationPatch(object, aNow);
    } else if (!ApplyPatch(object)) {
      has_patch_without_base = true;
    }
  }
  if (has_patch_without_base && aDelta.to_revision > 0) {
    mNeedsFullResync = true;
    log_event("view_torn", log_level::kWarning)
      .With("from", aDelta.from_revision)
      .With("to", aDelta.to_revision)
      .With("known", mRevision);
    return view_change::kGap;
  }
  if (aDelta.from_revision == 0 && aDelta.to_revision > 0) {
    mNeedsFullResync = false;
  }
  if (aDelta.to_revision <= mRevision) {
    return view_change::kNoChange;
  }
  const bool is_first_of_era = !IsCompleteInEra();
  mRevision = aDelta.to_revision;
  if (is_first_of_era) {
    MarkLostObjects();
  }
  return view_change::kApplied;
}

void
cluster_view::ObserveEra(std::int64_t aEra, instant aNow)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  mEraObservedAt = aNow;
  if (!mObjects.empty()) {
    NoteRestore();
  }
}

void
cluster_view::NoteRestore()
{
  mWasRestored = true;
  log_event("store_restored").With("era", mEra).With("known", mRevision);
}

void
cluster_view::ObserveCount(std::int64_t aCount)
{
  const bool is_given = aCount > 0;
  if (!mWasRestored && is_given && EraOfCount(aCount) < mEra) {
    NoteRestore();
  }
}

void
cluster_view::MarkLostObjects()
{
  for (auto& [path, object] : mObjects) {
    if (object.kind == kConfigurationKind || EraOf(object.revision) >= mEra) {
      continue;
    }
    mByRevision.erase(object.revision);
    object.revision = 0;
    const auto page = mPages.find(object.name);
    if (object.kind == kNodeKind && mNodes->contains(object.name)) {
      ChangeableNodes()[object.name].mRevision = 0;
    } else if (object.kind == kShardPageKind && page != mPages.end()) {
      auto lost = std::make_shared<shard_page>(*page->second);
      lost->mRevision = 0;
      page->second = std::move(lost);
      mPageHistories.erase(object.name);
    } else {
      continue; // never readable here, so there is nothing to write again
    }
    mUnsaved.insert(path);
    ++mGeneration;
  }
}

cluster_view::node_map&
cluster_view::ChangeableNodes()
{
  ++mRecordsGeneration;
  if (std::exchange(mAreNodesShared, false)) {
    mNodes = std::make_shared<node_map>(*mNodes);
  }
  return *mNodes;
}

bool
cluster_view::IsUnsaved(std::string_view aKind, std::string_view aName) const
{
  return !mUnsaved.empty() && mUnsaved.contains(ObjectPath(aKind, aName));
}

void
cluster_view::ApplyObject(const stored_object& aObject, instant aNow)
{
  ObserveEra(EraOf(aObject.revision), aNow);
  if (aObject.kind == kEvacuationKind) {
    // Kept apart from the other objects: it may have the revision of one.
    const auto list = ParseEvacuationObject(aObject);
    if (list.ok()) {
      TakeEvacuations(*list);
    } else {
      LogParseFailure(aObject, list.status());
    }
    return;
  }
  const bool is_newer = StoreIfNewer(aObject);
  // A configuration that the store has lost is in force until there is one with
  // a higher number, so it may be of an earlier era.
  const bool is_lost_configuration =
    aObject.kind == kConfigurationKind && EraOf(aObject.revision) < mEra;
  if (is_newer) {
    ++mGeneration;
  }
  if (is_newer || is_lost_configuration) {
    IndexObject(aObject, aNow);
  }
}

void
cluster_view::TakeEvacuations(const evacuation_list& aList)
{
  if (!mEvacuations.Take(aList)) {
    return;
  }
  ++mGeneration;
  for (auto& [name, record] : ChangeableNodes()) {
    record.mIsEvacuated = mEvacuations.Contains(record.mFailureDomain);
  }
}

bool
cluster_view::StoreIfNewer(const stored_object& aObject)
{
  if (EraOf(aObject.revision) < mEra) {
    return false; // from before the store was restored
  }
  const std::string path = ObjectPath(aObject.kind, aObject.name);
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
cluster_view::IndexObject(const stored_object& aObject, instant aNow)
{
  if (aObject.kind == kNodeKind) {
    if (auto record = ParseNodeRecord(aObject); record.ok()) {
      record->mObservedAt = aNow;
      ObserveCount(record->mIdentity.incarnation);
      IndexRecord(aObject.name, *std::move(record));
      if (aObject.unsaved) {
        mUnsaved.insert(ObjectPath(aObject.kind, aObject.name));
      }
    } else {
      LogParseFailure(aObject, record.status());
      KeepRecord(aObject, aNow);
    }
    return;
  }
  if (aObject.kind == kShardPageKind) {
    if (auto page = ParseShardPage(aObject); page.ok()) {
      for (const shard_entry& entry : page->mEntries) {
        ObserveCount(entry.mEpoch);
      }
      StorePage(aObject.name, *std::move(page), false);
    } else {
      LogParseFailure(aObject, page.status());
      KeepPage(aObject);
    }
    return;
  }
  if (aObject.kind == kConfigurationKind) {
    if (const auto kept = mObjects.find(ObjectPath(aObject.kind, aObject.name));
        kept != mObjects.end()) {
      kept->second.body.clear();
    }
    boost::system::error_code malformed;
    boost::json::value stored = boost::json::parse(aObject.body, malformed);
    if (malformed) {
      LogParseFailure(aObject, absl::InvalidArgumentError(malformed.message()));
    } else {
      TakeConfigurations({ { 0, aObject.revision, std::move(stored) } }, aNow);
    }
  }
}

void
cluster_view::TakeConfigurations(
  std::vector<configuration_history::version> aVersions,
  instant aNow)
{
  const configuration_history::version& newest = aVersions.back();
  auto configuration = ParseConfiguration(newest.mStored, newest.mRevision);
  if (!configuration.ok()) {
    log_event("configuration_refused", log_level::kWarning)
      .With("revision", newest.mRevision)
      .With("reason", Reason(configuration.status()));
    return;
  }
  if (configuration->mNumber <= mConfiguration->mNumber) {
    return;
  }
  aVersions.back().mNumber = configuration->mNumber;
  for (configuration_history::version& version : aVersions) {
    mConfigurations.Add(std::move(version));
  }
  mConfiguration =
    std::make_shared<const cluster_configuration>(*std::move(configuration));
  mConfigurationObservedAt = aNow;
  ++mGeneration;
}

void
cluster_view::ApplyConfigurationPatch(const stored_object& aPatch, instant aNow)
{
  auto versions = mConfigurations.Apply(aPatch);
  if (!versions.ok()) {
    LogParseFailure(aPatch, versions.status());
    return;
  }
  StoreRevision(aPatch);
  TakeConfigurations(*std::move(versions), aNow);
}

bool
cluster_view::ApplyPatch(const stored_object& aPatch)
{
  const auto found = mPages.find(aPatch.name);
  const bool has_base =
    found != mPages.end() && found->second->mRevision >= aPatch.patch_base;
  if (!has_base) {
    return false;
  }
  if (found->second->mRevision >= aPatch.revision) {
    return true;
  }
  auto page = ApplyChanges(*found->second, aPatch);
  if (!page.ok()) {
    LogParseFailure(aPatch, page.status());
    return false;
  }
  StoreRevision(aPatch);
  ++mGeneration;
  StorePage(aPatch.name, *std::move(page), true);
  return true;
}

void
cluster_view::StoreRevision(const stored_object& aObject)
{
  stored_object kept;
  kept.kind = aObject.kind;
  kept.name = aObject.name;
  kept.revision = aObject.revision;
  kept.deleted = aObject.deleted;
  StoreIfNewer(kept);
}

void
cluster_view::IndexRecord(const std::string& aName, node_record aRecord)
{
  node_map& nodes = ChangeableNodes();
  aRecord.mIsEvacuated = mEvacuations.Contains(aRecord.mFailureDomain);
  const std::string path = ObjectPath(kNodeKind, aName);
  const auto found = nodes.find(aName);
  if (found == nodes.end()) {
    nodes.emplace(aName, std::move(aRecord));
    return;
  }
  node_record& known = found->second;
  if (IsEarlier(aRecord, known)) {
    KeepRecord(mObjects[path], aRecord.mObservedAt);
    return;
  }
  aRecord.mRetiredThrough =
    std::max(aRecord.mRetiredThrough, known.mRetiredThrough);
  aRecord.mConfirmedLostThrough =
    std::max(aRecord.mConfirmedLostThrough, known.mConfirmedLostThrough);
  known = std::move(aRecord);
  mUnsaved.erase(path);
}

void
cluster_view::KeepRecord(const stored_object& aObject, instant aNow)
{
  const std::string path = ObjectPath(kNodeKind, aObject.name);
  stored_object& kept = mObjects[path];
  if (!mNodes->contains(aObject.name)) {
    kept.body.clear();
    return;
  }
  node_record& known = ChangeableNodes()[aObject.name];
  known.mRevision = aObject.revision;
  known.mObservedAt = aNow;
  kept.body = Serialize(known);
  mUnsaved.insert(path);
}

void
cluster_view::KeepPage(const stored_object& aObject)
{
  const auto known = mPages.find(aObject.name);
  if (known == mPages.end()) {
    mObjects[ObjectPath(kShardPageKind, aObject.name)].body.clear();
    return;
  }
  shard_page unreadable;
  unreadable.mService = known->second->mService;
  unreadable.mPage = known->second->mPage;
  unreadable.mRevision = aObject.revision;
  StorePage(aObject.name, std::move(unreadable), false);
}

void
cluster_view::StorePage(const std::string& aName,
                        shard_page aPage,
                        bool aIsPatch)
{
  const std::string path = ObjectPath(kShardPageKind, aName);
  page_pointer& kept = mPages[aName];
  const bool has_newer = kept != nullptr && KeepNewerEntries(*kept, aPage);
  const bool was_unsaved = mUnsaved.contains(path);
  const bool is_unsaved = has_newer || (aIsPatch && was_unsaved);
  if (is_unsaved) {
    mUnsaved.insert(path);
    mObjects[path].body.clear();
  } else {
    mUnsaved.erase(path);
  }
  // Other nodes may have other entries under the revisions up to this one, so
  // patches must start later.
  const bool is_new_era =
    kept != nullptr && EraOf(kept->mRevision) != EraOf(aPage.mRevision);
  if (is_unsaved || was_unsaved || is_new_era) {
    mPageHistories.erase(aName);
  } else {
    mPageHistories[aName].Add(kept.get(), aPage);
  }
  kept = std::make_shared<const shard_page>(std::move(aPage));
}

stored_object
cluster_view::ObjectChangeAfter(std::int64_t aRevision,
                                std::string_view aKind,
                                std::string_view aName) const
{
  return ObjectChangeByPath(aRevision, ObjectPath(aKind, aName));
}

stored_object
cluster_view::ObjectChangeByPath(std::int64_t aRevision,
                                 const std::string& aPath) const
{
  stored_object object = mObjects.at(aPath);
  object.unsaved = IsUnsaved(object.kind, object.name);
  if (object.kind == kConfigurationKind && mConfiguration->mNumber > 0) {
    return mConfigurations.Whole();
  }
  const auto page = mPages.find(object.name);
  const bool is_page = object.kind == kShardPageKind && page != mPages.end() &&
                       page->second->mRevision == object.revision;
  if (!is_page) {
    return object;
  }
  const auto history = mPageHistories.find(object.name);
  const auto changes = history == mPageHistories.end()
                         ? std::nullopt
                         : history->second.ChangesAfter(aRevision);
  const bool is_patch_smaller =
    changes && changes->mIndices.size() < page->second->mEntries.size() / 2;
  if (is_patch_smaller) {
    object.patch_base = changes->mBase;
    object.body = SerializeChanges(*page->second, changes->mIndices);
  } else if (object.body.empty()) {
    object.body = Serialize(*page->second);
  }
  return object;
}

object_delta
cluster_view::ChangesAfter(std::int64_t aRevision) const
{
  return ChangesExcept("", aRevision);
}

object_delta
cluster_view::RecordsAndPagesAfter(std::int64_t aRevision) const
{
  return ChangesExcept(ObjectPath(kConfigurationKind, kConfigurationName),
                       aRevision);
}

object_delta
cluster_view::ChangesExcept(std::string_view aExcludedPath,
                            std::int64_t aRevision) const
{
  object_delta delta;
  delta.from_revision = aRevision;
  delta.to_revision = mRevision;
  for (auto change = mByRevision.upper_bound(aRevision);
       change != mByRevision.end();
       ++change) {
    if (change->second != aExcludedPath) {
      delta.objects.push_back(ObjectChangeByPath(aRevision, change->second));
    }
  }
  return delta;
}

const stored_object*
cluster_view::FindObject(std::string_view aKind, std::string_view aName) const
{
  const auto found = mObjects.find(ObjectPath(aKind, aName));
  return found == mObjects.end() ? nullptr : &found->second;
}

const node_record*
cluster_view::FindNode(std::string_view aName) const
{
  const auto found = mNodes->find(aName);
  return found == mNodes->end() ? nullptr : &found->second;
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
cluster_view::ObservedAt(std::string_view aName) const
{
  const node_record* record = FindNode(aName);
  return record == nullptr ? kNever : record->mObservedAt;
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
  const std::size_t index =
    static_cast<std::size_t>(aShard.mIndex % kShardsPerPage);
  if (page == nullptr || index >= page->mEntries.size()) {
    return nullptr;
  }
  return &page->mEntries[index];
}

bool
cluster_view::IsRetired(const node_identity& aIdentity) const
{
  const node_record* record = FindNode(aIdentity.name);
  return record != nullptr && aIdentity.incarnation <= record->mRetiredThrough;
}

bool
cluster_view::IsActiveIncarnation(const node_identity& aIdentity) const
{
  const node_record* record = FindNode(aIdentity);
  return record != nullptr && record->IsActive();
}

} // namespace plantaindale
