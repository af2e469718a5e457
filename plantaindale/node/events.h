// What happens to a node's control state, as plain values: the daemon makes
// them from timers, sockets and the platform's answers; tests write them down.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/membership/node_record.h"
#include "plantaindale/shards/shard_id.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

using protocol::control_message;

// Time has passed; sent a few times in each renewal interval.
struct tick
{};

struct message_received
{
  control_message mMessage;
};

// A conditional write ended, as object_store::Write describes.
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

// The platform's list or watch brought changes.
struct store_changed
{
  object_delta mDelta;
};

// A list or watch of the platform ended, with an answer or without.
struct watch_ended
{
  bool mSucceeded = true;
};

// What is known of the backend server beside the node has changed; none: it is
// gone.
struct server_announced
{
  std::optional<announced_server> mServer;
};

// No request of a closed shard is running any more, and the backend server
// doesn't hold it.
struct shard_drained
{
  shard_id mShard;
  std::string mHandover; // for the next owner's server
};

// The own backend server holds the shard's state ready.
struct shard_warmed
{
  shard_id mShard;
  std::string mOwnerAddress;
};

// What the traffic thread measured: requests that run or wait, and the share
// of the server's time that each owned shard took lately.
struct traffic_report
{
  int mOutstanding = 0;
  std::map<shard_id, double> mShardLoads; // mean slots in use
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
                           shard_drained,
                           shard_warmed,
                           traffic_report,
                           drain_requested,
                           undrain_requested>;

} // namespace plantaindale
