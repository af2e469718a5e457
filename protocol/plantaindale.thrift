// Messages between the nodes of plantaindale. Generated C++ is committed in
// generated/; `make protocol` makes it anew.
namespace cpp plantaindale.protocol

// One process under one name. A restart under the same name is a new
// incarnation; no two processes ever share a pair.
struct node_identity { 1: string name, 2: i64 incarnation }

// Asks a witness to vouch for the holder's lease. `round` names the holder's
// own record of when it sent this.
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

// Asks a witness never to vouch again for this incarnation or older ones.
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

// One object of the platform's store as last seen.
struct stored_object {
  1: string kind,
  2: string name,
  3: i64 revision,
  4: bool deleted,
  5: string body,
  // 0: the body is whole. Else it holds what changed since this revision of
  // the object; see shards/shard_page.h.
  6: i64 patch_base
}

// Every object changed after from_revision, up to to_revision.
struct object_delta {
  1: i64 from_revision,
  2: i64 to_revision,
  3: list<stored_object> objects
}

// Says how far the sender's view of the store reaches.
struct digest {
  1: node_identity sender,
  2: string address,
  3: i64 revision,
  4: string service_name,    // of the backend server beside the sender
  5: double load,            // mean slots in use there; see placement/
  6: bool takes_shards,
  7: i64 config_number,
  8: bool cannot_watch,      // the platform's store turns the sender away
  9: bool wants_changes      // the receiver is to send what the sender lacks
}

// Asks the owner to hand a shard to another node.
struct move_request { 1: string service_name, 2: i32 shard, 3: node_identity target }
// The owner asks its successor to warm the shard up, and hears when it is.
struct warm_request {
  1: string service_name,
  2: i32 shard,
  3: string owner_address,
  4: node_identity target
}
struct warm_reply { 1: string service_name, 2: i32 shard, 3: node_identity target }

// A call to the platform's store that a peer makes for a node which the store
// turns away. `code` is an absl::StatusCode; 0 when `object` is the answer. A
// refusal for another revision may bring the object as it is.
struct store_call {
  1: i64 call_id,
  2: string reply_address,
  3: bool is_write,
  4: string kind,
  5: string name,
  6: i64 base_revision,   // of a write
  7: string body          // of a write
}
struct store_result {
  1: i64 call_id,
  2: i32 code,
  3: string reason,
  4: stored_object object
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
  11: store_result store_answered
}

struct header_field { 1: string name, 2: string value }

// Opens one request at the owner's node.
struct request_head {
  1: i64 request_id,
  2: string service_name,
  3: i32 shard,
  4: string key,
  5: string method,
  6: string target,
  7: list<header_field> fields,
  8: i64 body_bytes,       // -1: unknown until its end
  9: i64 deadline_us,      // left, at the time of sending
  10: bool await_ready,    // the body follows only after `ready`
  11: string attempt_id,   // the caller's id of this attempt; for logs too
  12: i32 priority,        // 0 is the most urgent
  13: i64 target_us,       // left until an answer is worth less; may be past
  14: string route         // that the request came by; requests of one are alike
}
struct body_chunk { 1: i64 request_id, 2: binary bytes, 3: bool last }
struct ready { 1: i64 request_id }
struct answer_head {
  1: i64 request_id,
  2: i32 status,
  3: list<header_field> fields,
  4: i64 body_bytes,
  5: i32 outstanding      // requests running or waiting at the answering node
}
enum outcome_kind { answered = 0, not_run = 1, unknown = 2, broken = 3 }
// Closes one request. `answered`: the whole answer has been sent.
struct request_outcome {
  1: i64 request_id,
  2: outcome_kind kind,
  3: string step,
  4: string peer,
  5: string reason,
  6: i32 outstanding,
  7: bool was_sent         // a backend server got at least a part of it
}
union traffic_frame {
  1: request_head head,
  2: body_chunk chunk,
  3: ready go,
  4: answer_head answer,
  5: request_outcome outcome
}
