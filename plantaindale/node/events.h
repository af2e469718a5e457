// Events that node_machine consumes, as plain values. node_daemon creates them
// from timers, sockets and results of the store; tests can construct them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/crashes/server_end.h"
#include "plantaindale/membership/node_record.h"
#include "plantaindale/shards/shard_id.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

using protocol::control_message;

// Time has passed; sent several times per lease renewal interval.
struct tick
{};

struct message_received
{
  control_message mMessage;
};

// A conditional write finished; see object_store::Write.
struct write_finished
{
  std::int64_t mToken = 0;
  absl::StatusOr<stored_object> mResult;
};

struct read_finished
{
  std::int64_t mToken = 0;
  absl::StatusOr<stored_object> mResult;
};

// A list or watch of the store returned changes.
struct store_changed
{
  object_delta mDelta;
};

// A list or watch of the store finished, successfully or not.
struct watch_ended
{
  bool mSucceeded = true;
};

// The state of the local backend server has changed; none: it is gone.
struct server_announced
{
  std::optional<announced_server> mServer;
};

// Grants to the backend server need a new incarnation of this node.
struct rejoin_requested
{};

// No request of these closed shards is running any more, and the backend server
// no longer holds them.
struct shards_drained
{
  std::vector<shard_id> mShards;
  std::string mHandover; // for the next owner's server
};

// The local backend server has loaded the shard's state.
struct shard_warmed
{
  shard_id mShard;
  std::string mOwnerAddress;
};

// Measurements of the traffic thread: running and waiting requests, and the
// recent load of each owned shard.
struct traffic_report
{
  int mOutstanding = 0;
  duration mTypicalRunTime{ 0 };          // of a request at the backend server
  std::map<shard_id, double> mShardLoads; // mean number of slots in use
};

// The local backend server has ended while it ran requests.
struct server_ended
{
  server_end mEnd;
};

// A request under which a backend server had ended has run to its end at the
// local one.
struct suspect_completed
{
  request_fingerprint mFingerprint;
};

// The operator allows the request to run again.
struct refusal_lifted
{
  request_fingerprint mFingerprint;
};

struct drain_requested
{};

struct undrain_requested
{};

using event = std::variant<tick,
                           message_received,
                           write_finished,
                           read_finished,
                           store_changed,
                           watch_ended,
                           server_announced,
                           rejoin_requested,
                           shards_drained,
                           shard_warmed,
                           traffic_report,
                           server_ended,
                           suspect_completed,
                           refusal_lifted,
                           drain_requested,
                           undrain_requested>;

} // namespace plantaindale
