// cluster_view is what one node knows of the platform's store: every node's
// record, the shard map and the configuration, with the revision up to which
// it knows everything. It only ever moves forward.
//
//   cluster_view view;
//   if (view.Apply(delta, now) == view_change::kApplied) { ... }
//   const node_record* owner = view.FindNode("n1");
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "plantaindale/base/boot_clock.h"
#include "plantaindale/configuration/cluster_configuration.h"
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
  kGap // the delta leads on from what isn't known here; ask from
       // KnownRevision()
};

// Not thread-safe: it belongs to the control thread. Pages are shared with
// the routing snapshots of the traffic threads, and are immutable.
class cluster_view
{
public:
  using page_pointer = std::shared_ptr<const shard_page>;
  using node_map = std::map<std::string, node_record, std::less<>>;
  using page_map = std::map<std::string, page_pointer, std::less<>>;

  // Commands.
  // A delta from 0 to 0 holds single objects, newer or not than what is known
  // here, and says nothing of others; patches among them that don't fit are
  // passed over.
  view_change Apply(const object_delta& aDelta, instant aNow);
  // Takes in one object that a write or read of this node returned, which may
  // be newer than what lies between.
  void ApplyObject(const stored_object& aObject, instant aNow);

  // Queries.
  std::int64_t Revision() const { return mRevision; }
  // What others may build on: 0 when a patch has shown that something between
  // is missing here, so that everything comes anew.
  std::int64_t ContiguousRevision() const
  {
    return mNeedsFullResync ? 0 : mRevision;
  }
  // Rises whenever anything in the view has changed.
  std::int64_t Generation() const { return mGeneration; }
  // Pages go as patches where the changes are few.
  object_delta ChangesAfter(std::int64_t aRevision) const;
  // A known object as one who knows the store as of `aRevision` needs it.
  stored_object ObjectChangeAfter(std::int64_t aRevision,
                                  std::string_view aKind,
                                  std::string_view aName) const;
  const node_map& Nodes() const { return mNodes; }
  const node_record* FindNode(std::string_view aName) const;
  // The record only when it is of this very incarnation.
  const node_record* FindNode(const node_identity& aIdentity) const;
  // When this node learnt of the record's present revision.
  instant ObservedAt(std::string_view aName) const;
  const page_map& Pages() const { return mPages; }
  page_pointer FindPage(std::string_view aService, int aPage) const;
  const shard_entry* FindEntry(const shard_id& aShard) const;
  const cluster_configuration& Configuration() const { return *mConfiguration; }
  std::shared_ptr<const cluster_configuration> ConfigurationPointer() const
  {
    return mConfiguration;
  }
  // The configuration as the store keeps it; null while none is known.
  const stored_object* ConfigurationObject() const;
  instant ConfigurationObservedAt() const { return mConfigurationObservedAt; }
  // Whether this incarnation can never act again.
  bool IsRetired(const node_identity& aIdentity) const;
  // Whether another incarnation, or none, may act under its name now.
  bool IsActiveIncarnation(const node_identity& aIdentity) const;

private:
  bool StoreIfNewer(const stored_object& aObject);
  void IndexObject(const stored_object& aObject, instant aNow);
  // False when the patch leads on from a page that isn't known here.
  bool ApplyPatch(const stored_object& aPatch);
  void StorePage(const std::string& aName, shard_page aPage);
  stored_object ObjectChangeByPath(std::int64_t aRevision,
                                   const std::string& aPath) const;

  std::int64_t mRevision = 0;
  std::int64_t mGeneration = 0;
  // By kind/name. The body of a page that came by a patch is left empty.
  std::map<std::string, stored_object, std::less<>> mObjects;
  std::map<std::int64_t, std::string> mByRevision;
  node_map mNodes;
  page_map mPages;
  std::map<std::string, page_history, std::less<>> mPageHistories;
  bool mNeedsFullResync = false;
  std::shared_ptr<const cluster_configuration> mConfiguration =
    std::make_shared<const cluster_configuration>();
  instant mConfigurationObservedAt = kNever;
};

} // namespace plantaindale
