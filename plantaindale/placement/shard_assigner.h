// shard_assigner selects owners for shards that have none. On a page that never
// had an owner, each node gets an equal contiguous part of the service, so
// nodes that propose different pages needn't coordinate. Later the node with
// the fewest shards gets them; contiguous shards go to one node up to its fair
// share, and ties are broken identically on every node.
//
//   shard_assigner assigner(view, "board");
//   if (auto owner = assigner.Assign(shard)) { ... }
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

// Counts the shards of each node that accepts work for a service at
// construction and as it assigns more. Valid for one round of decisions. Not
// thread-safe.
class shard_assigner
{
public:
  // `aExcludedNode` is assigned no shards, for example because it is draining.
  shard_assigner(const cluster_view& aView,
                 std::string_view aService,
                 std::string_view aExcludedNode = {});

  // Assigns the shard to a node, which is counted from then on; nullopt if no
  // node accepts work for the service.
  std::optional<node_identity> Assign(const shard_id& aShard);
  // The node whose equal part of the service contains the shard; nullopt if
  // there is none.
  std::optional<node_identity> InitialOwner(const shard_id& aShard) const;
  // The later incarnation of a former owner, if it accepts work. Its backend
  // server may still have the shard's state.
  std::optional<node_identity> RestartedOwner(const node_identity& aFormer);

private:
  struct candidate
  {
    node_identity mIdentity;
    int mShards = 0;
  };

  std::vector<candidate> mCandidates;
  int mShards = 0;     // number of shards of the service
  int mFairShare = 0;  // shards per node if all have the same
  int mLastShard = -1; // the last shard assigned
  std::size_t mLastCandidate = 0;
};

} // namespace plantaindale
