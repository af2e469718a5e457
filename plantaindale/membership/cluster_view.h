// cluster_view is a node's local copy of the platform's store: the node
// records, the shard map and the configuration, with the revision up to which
// the copy is complete. Older data never replaces newer data.
//
// A restore of the store from an older copy takes nothing back that is known
// here: shard owners by epoch, node records by incarnation and state, and the
// configuration by its number. What the store has lost is unsaved until it is
// written again. The same holds for an object that another program has replaced
// by content that can't be read.
//
//   cluster_view view;
//   if (view.Apply(delta, now) == view_change::kApplied) { ... }
//   const node_record* record = view.FindNode("n1");
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/evacuation/evacuation_list.h"
#include "plantaindale/membership/configuration_history.h"
#include "plantaindale/membership/node_record.h"
#include "plantaindale/membership/page_history.h"
#include "plantaindale/shards/shard_id.h"
#include "plantaindale/shards/shard_page.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

enum class view_change
{
  kNoChange,
  kApplied,
  kGap // changes before the delta are missing; request them from
       // ContiguousRevision() on
};

// Not thread-safe: used by the control thread only. Pages are immutable and
// shared with the routing snapshots of the traffic threads.
class cluster_view
{
public:
  using page_pointer = std::shared_ptr<const shard_page>;
  using node_map = std::map<std::string, node_record, std::less<>>;
  using page_map = std::map<std::string, page_pointer, std::less<>>;

  // Commands.
  // Applies the objects that are newer than the local ones. A delta from 0 to 0
  // carries single objects and doesn't advance Revision(); its patches whose
  // base is missing here are ignored.
  view_change Apply(const object_delta& aDelta, instant aNow);
  // Applies one object that a write or read of this node returned. It may be
  // ahead of Revision().
  void ApplyObject(const stored_object& aObject, instant aNow);
  // Replaces the list of evacuated failure domains if `aList` is newer, and
  // marks the records of their nodes.
  void TakeEvacuations(const evacuation_list& aList);

  // Queries.
  std::int64_t Revision() const { return mRevision; }
  // The revision from which to request changes. 0 after a patch whose base is
  // missing here, which requests a full resync.
  std::int64_t ContiguousRevision() const
  {
    return mNeedsFullResync ? 0 : mRevision;
  }
  // The newest era of the store that was observed, and when; see
  // object_store.h.
  std::int64_t Era() const { return mEra; }
  instant EraObservedAt() const { return mEraObservedAt; }
  // Whether the store has come back from an older copy, as far as is known: its
  // era has risen, or it has content that was written in an earlier one.
  bool WasRestored() const { return mWasRestored; }
  // Whether the copy is complete up to a revision of that era.
  bool IsCompleteInEra() const { return EraOf(mRevision) == mEra; }
  // Whether the object here has content that the store has lost.
  bool IsUnsaved(std::string_view aKind, std::string_view aName) const;
  bool HasUnsaved() const { return !mUnsaved.empty(); }
  // Increases whenever an object in the view changes.
  std::int64_t Generation() const { return mGeneration; }
  // Increases whenever a node record changes. Pointers to records are valid
  // until then.
  std::int64_t RecordsGeneration() const { return mRecordsGeneration; }
  // All changes after `aRevision`. A page is sent as a patch if fewer than half
  // of its entries changed.
  object_delta ChangesAfter(std::int64_t aRevision) const;
  // The same without the configuration, which nodes compare by its number and
  // send on its own.
  object_delta RecordsAndPagesAfter(std::int64_t aRevision) const;
  // One object, which must be in the view, for a receiver whose view is
  // complete up to `aRevision`; a patch where ChangesAfter() would send one.
  stored_object ObjectChangeAfter(std::int64_t aRevision,
                                  std::string_view aKind,
                                  std::string_view aName) const;
  // Null if it was never seen. The revision is 0 if the store has lost it.
  const stored_object* FindObject(std::string_view aKind,
                                  std::string_view aName) const;
  const node_map& Nodes() const { return *mNodes; }
  // The records as they are now, for other threads; later changes are made to a
  // copy.
  std::shared_ptr<const node_map> SharedNodes() const
  {
    mAreNodesShared = true;
    return mNodes;
  }
  const node_record* FindNode(std::string_view aName) const;
  // Null if the record is of another incarnation.
  const node_record* FindNode(const node_identity& aIdentity) const;
  // When this node observed the current revision of the record; kNever if there
  // is none.
  instant ObservedAt(std::string_view aName) const;
  const page_map& Pages() const { return mPages; }
  page_pointer FindPage(std::string_view aService, int aPage) const;
  const shard_entry* FindEntry(const shard_id& aShard) const;
  const cluster_configuration& Configuration() const { return *mConfiguration; }
  std::shared_ptr<const cluster_configuration> ConfigurationPointer() const
  {
    return mConfiguration;
  }
  // The configuration for a node that has version `aNumber`; there must be one.
  stored_object ConfigurationSince(std::int64_t aNumber) const
  {
    return mConfigurations.ChangeSince(aNumber);
  }
  const evacuation_list& Evacuations() const { return mEvacuations; }
  instant ConfigurationObservedAt() const { return mConfigurationObservedAt; }
  // Whether this incarnation is proved never to act again.
  bool IsRetired(const node_identity& aIdentity) const;
  // Whether the record is of this incarnation and active. False doesn't prove
  // that the incarnation has stopped; see IsRetired().
  bool IsActiveIncarnation(const node_identity& aIdentity) const;

private:
  bool StoreIfNewer(const stored_object& aObject);
  void IndexObject(const stored_object& aObject, instant aNow);
  // Returns false if the base page is missing here or the patch is malformed.
  bool ApplyPatch(const stored_object& aPatch);
  void ApplyConfigurationPatch(const stored_object& aPatch, instant aNow);
  // Puts the last of the versions into effect, unless it is malformed or not
  // newer; the others are steps to it. There must be one.
  void TakeConfigurations(std::vector<configuration_history::version> aVersions,
                          instant aNow);
  // Records that the object has this revision, without its body.
  void StoreRevision(const stored_object& aObject);
  // The records for a change; a copy if other threads share them.
  node_map& ChangeableNodes();
  void IndexRecord(const std::string& aName, node_record aRecord);
  // Both are for an object whose content is earlier than the known one or can't
  // be read. The known content stays, and is unsaved until it is written again.
  void KeepRecord(const stored_object& aObject, instant aNow);
  void KeepPage(const stored_object& aObject);
  // Stores the page with every entry that is newer here. A patch carries only
  // some of the store's entries, so it does not show that the others are saved.
  void StorePage(const std::string& aName, shard_page aPage, bool aIsPatch);
  void ObserveEra(std::int64_t aEra, instant aNow);
  void NoteRestore();
  // Looks at a counter of FirstCountOf() in an object of the newest era.
  void ObserveCount(std::int64_t aCount);
  // Marks the objects of earlier eras, which the store does not have any more.
  void MarkLostObjects();
  // All changes after `aRevision`, but those of the object at `aExcludedPath`.
  object_delta ChangesExcept(std::string_view aExcludedPath,
                             std::int64_t aRevision) const;
  stored_object ObjectChangeByPath(std::int64_t aRevision,
                                   const std::string& aPath) const;

  std::int64_t mRevision = 0;
  std::int64_t mEra = 0;
  instant mEraObservedAt = kNever;
  bool mWasRestored = false;
  std::set<std::string, std::less<>> mUnsaved; // by `kind/name`
  std::int64_t mGeneration = 0;
  std::int64_t mRecordsGeneration = 0;
  // Keyed by `kind/name`. The body is empty for a page that arrived as a patch
  // or differs from the store's, and for the configuration. The revision is 0
  // if the store has lost the object.
  std::map<std::string, stored_object, std::less<>> mObjects;
  std::map<std::int64_t, std::string> mByRevision;
  std::shared_ptr<node_map> mNodes = std::make_shared<node_map>();
  mutable bool mAreNodesShared = false;
  page_map mPages;
  std::map<std::string, page_history, std::less<>> mPageHistories;
  bool mNeedsFullResync = false;
  configuration_history mConfigurations;
  std::shared_ptr<const cluster_configuration> mConfiguration =
    std::make_shared<const cluster_configuration>();
  instant mConfigurationObservedAt = kNever;
  evacuation_list mEvacuations;
};

} // namespace plantaindale
