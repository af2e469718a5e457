// Gives shards without an owner to nodes. Of a page that nobody has owned yet
// each node gets its part of the whole service, so that proposers of different
// pages need not know of each other. Later the node that has the fewest gets
// them, runs of neighbours the same one up to its share, ties in an order that
// all nodes agree on.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/membership/cluster_view.h"
#include "plantaindale/shards/shard_id.h"

namespace plantaindale {

// Counts what each node that takes work for a service owns of it, and hands
// out more. A value for one round of decisions.
class shard_assigner
{
public:
  // `aExcept` gets nothing, such as a node that leaves.
  shard_assigner(const cluster_view& aView,
                 std::string_view aService,
                 std::string_view aExcludedNode = {});

  // The node for the shard, counted as its own from now on; none when no node
  // takes work for the service.
  std::optional<node_identity> Assign(const shard_id& aShard);
  // The node whose part of the service the shard is; none as above.
  std::optional<node_identity> InitialOwner(const shard_id& aShard) const;
  // The later incarnation of a former owner, if it takes work: its server is
  // the one that had the shard.
  std::optional<node_identity> RestartedOwner(const node_identity& aFormer);

private:
  struct candidate
  {
    node_identity mIdentity;
    int mShards = 0;
  };

  std::vector<candidate> mCandidates;
  int mShards = 0;     // of the service
  int mFairShare = 0;  // of each, when all have the same
  int mLastShard = -1; // that was given
  std::size_t mLastCandidate = 0;
};

} // namespace plantaindale
