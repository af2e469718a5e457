// Messages between plantaindale nodes. The generated C++ code is checked in
// under generated/; run `make protocol` to regenerate it.
namespace cpp plantaindale.protocol

// Identifies one process of a node. A restart under the same name gets a new
// incarnation; no two processes ever share the same (name, incarnation) pair.
struct node_identity { 1: string name, 2: i64 incarnation }

// Asks a witness to vouch for the holder's lease. `round` refers to the time of
// sending, which the holder keeps locally.
struct vouch_request {
  1: node_identity holder,
  2: node_identity witness,
  3: i64 round,
  4: i64 config_number,
  5: i64 revision
}
struct vouch_reply {
  1: node_identity holder,
  2: node_identity witness,
  3: i64 round,
  4: bool vouched,
  5: string reason,
  6: i64 revision
}

// Asks a witness to fence the holder: the witness must never again vouch for
// this incarnation or older ones.
struct floor_request {
  1: node_identity holder,
  2: node_identity witness,
  3: string taker_address
}
struct floor_reply {
  1: node_identity holder,
  2: node_identity witness,
  3: bool acknowledged
}

// The latest known revision of an object in the platform's metadata store.
struct stored_object {
  1: string kind,
  2: string name,
  3: i64 revision,
  4: bool deleted,
  5: string body,
  // 0 if the body is complete. Otherwise the body contains only the changes
  // since this revision of a shard page, or this number of the configuration;
  // see shards/shard_page.h and membership/configuration_history.h.
  6: i64 patch_base,
  // Between nodes: the store has other content at this revision, which the body
  // has yet to replace.
  7: bool unsaved
}

// All objects changed after from_revision, up to and including to_revision.
struct object_delta {
  1: i64 from_revision,
  2: i64 to_revision,
  3: list<stored_object> objects
}

// Gossips the revision up to which the sender has seen the metadata store, and
// the sender's own state.
struct digest {
  1: node_identity sender,
  2: string address,
  3: i64 revision,
  4: string service_name,    // of the sender's backend server
  5: double load,            // mean slots in use at that server; see placement/
  6: bool takes_shards,
  7: i64 config_number,
  8: bool cannot_watch,      // the metadata store refuses the sender
  9: bool wants_changes,     // asks the receiver for changes the sender lacks
  10: double settled_load,   // as `load`, over a longer time
  11: i64 crashes_hash,      // of the sender's crash records; 0: none
  // The newest list of evacuated failure domains that the sender knows, and the
  // revision of the metadata store at which it was complete; 0: none is known.
  12: i64 evacuations_revision,
  13: list<string> evacuated_domains
}

// Asks the owner to hand over a shard to the target node.
struct move_request { 1: string service_name, 2: i32 shard, 3: node_identity target }
// The owner asks the successor to warm up a shard before the handover; the
// successor sends warm_reply when it is done.
struct warm_request {
  1: string service_name,
  2: i32 shard,
  3: string owner_address,
  4: node_identity target
}
struct warm_reply { 1: string service_name, 2: i32 shard, 3: node_identity target }

// A metadata store call that a peer relays for a node that the store refuses.
// In the result, `code` is an absl::StatusCode; if it is 0, `object` is the
// answer. After a revision conflict, `object` may contain the current object.
struct store_call {
  1: i64 call_id,
  2: string reply_address,
  3: bool is_write,
  4: string kind,
  5: string name,
  6: i64 base_revision,   // writes only
  7: string body          // writes only
}
struct store_result {
  1: i64 call_id,
  2: i32 code,
  3: string reason,
  4: stored_object object
}

// A backend server that ended while it ran a request. The times are ages at
// sending.
struct ended_run {
  1: string instance,
  2: i64 started_at,       // Unix ms; with `instance` it identifies the server
  3: i64 run_began_us,
  4: i64 ended_us,
  5: bool cleared          // the request has run to its end since
}
// What the sender knows of a request under which backend servers have ended; see
// crashes/crash_ledger.h.
struct crash_record {
  1: binary fingerprint,
  2: string service_name,
  3: string target,        // for operators, shortened
  4: list<ended_run> ends
}

union control_message {
  1: vouch_request vouch,
  2: vouch_reply vouched,
  3: floor_request raise_floor,
  4: floor_reply floor_raised,
  5: digest known,
  6: object_delta delta,
  7: move_request move,
  8: warm_request warm,
  9: warm_reply warmed,
  10: store_call ask_store,
  11: store_result store_answered,
  12: binary packed,       // another control_message, compressed by zlib
  13: list<crash_record> crashes
}

struct header_field { 1: string name, 2: string value }

// Room of a backend server, as its node knows it when the message is sent.
struct server_room {
  1: i32 slots,            // 0: unknown
  2: i32 running,          // requests that the server runs
  3: i32 waiting,          // requests that wait at its node or in the server
  4: double slowness,      // how long work takes now; 1: as usual, 0: unknown
  5: double starts_per_s,  // a cold server takes no more; 0: no limit
  6: i64 wait_us,          // expected wait of a request that arrives now
  7: i64 run_us            // expected run time of a request; 0: unknown
}

// Starts one request at the owner's node.
struct request_head {
  1: i64 request_id,
  2: string service_name,
  3: i32 shard,
  4: string key,
  5: string method,
  6: string target,
  7: list<header_field> fields,
  8: i64 body_bytes,       // -1 if not known in advance
  9: i64 deadline_us,      // time remaining when this is sent
  10: bool await_ready,    // the body is sent only after `ready` is received
  11: string attempt_id,   // chosen by the caller; also used in logs
  12: i32 priority,        // 0 is the most urgent
  13: i64 target_us,       // time remaining to the latency target; < 0: passed
  14: string route,        // matched route; its requests take similar times
  15: binary fingerprint,  // see crashes/request_fingerprint.h; empty: none
  16: bool is_call         // made by a backend server for a request that it runs
}
struct body_chunk { 1: i64 request_id, 2: binary bytes, 3: bool last }
struct ready { 1: i64 request_id }
struct answer_head {
  1: i64 request_id,
  2: i32 status,
  3: list<header_field> fields,
  4: i64 body_bytes,
  5: i32 outstanding      // requests running or queued at the answering node
}
enum outcome_kind { answered = 0, not_run = 1, unknown = 2, broken = 3 }
// Ends one request. `answered` means that the complete answer has been sent.
struct request_outcome {
  1: i64 request_id,
  2: outcome_kind kind,
  3: string step,
  4: string peer,
  5: string reason,
  6: i32 outstanding,
  7: bool was_sent,        // a backend server received at least a part of it
  8: optional server_room room,
  // For a request that was rejected for lack of room: when room is expected.
  // 0: not known.
  9: i64 retry_after_us
}
union traffic_frame {
  1: request_head head,
  2: body_chunk chunk,
  3: ready go,
  4: answer_head answer,
  5: request_outcome outcome
}
