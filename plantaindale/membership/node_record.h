// node_record is the platform's record of one node: its current incarnation and
// state, the witnesses of its lease, and its local backend server. It is
// written by conditional updates only.
//
//   auto record = ParseNodeRecord(object);
//   if (record->mState == node_state::kActive) { ... }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/base/node_identity.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

enum class node_state
{
  kActive,  // may hold a lease
  kFenced,  // may not renew; its last lease may still be valid
  kRetired, // its last lease is proved to have expired
  kLeft     // shut down cleanly, with no requests in flight
};

inline constexpr double kDefaultCapacity = 1; // cores

// Listen addresses of a node, each IP:PORT.
struct node_addresses
{
  std::string mCaller;
  std::string mPeer;
  std::string mControl;
  std::string mAdmin;

  bool operator==(const node_addresses&) const = default;
};

// Largest number of slots and of connections that a server can announce.
inline constexpr int kMaxServerSlots = 100'000;

// What a backend server announced about itself to its local node.
struct announced_server
{
  std::string mService;
  std::string mAddress; // IP:PORT
  int mSlots = 0;       // concurrent requests
  int mConnections = 0; // connections it accepts; 0: not announced
  bool mChecksFences = false;
  // The server's name for its current process; empty: none.
  std::string mInstance = {};
  std::int64_t mStartedAt =
    0; // Unix ms; distinguishes two starts under one name
  // Whether it runs a request only while it holds a grant for the key from its
  // node.
  bool mKeepsGrants = false;
  bool mIsLeaving = false; // it announced its shutdown

  bool operator==(const announced_server&) const = default;
  bool IsSameStart(const announced_server& aOther) const
  {
    return mInstance == aOther.mInstance && mStartedAt == aOther.mStartedAt &&
           mAddress == aOther.mAddress;
  }
};

struct node_record
{
  node_identity mIdentity;
  node_state mState = node_state::kActive;
  bool mDraining = false;
  // Incarnations up to this one are proved never to act again.
  std::int64_t mRetiredThrough = 0;
  // Incarnations up to this one are confirmed lost by the operator.
  std::int64_t mConfirmedLostThrough = 0;
  // The process that takes over the name: it found the record of a former
  // process and fenced it. Empty once it has joined.
  std::string mSuccessor;
  // Increases with each write by this incarnation of the node. The store gives
  // a record that is written again unchanged no new revision.
  std::int64_t mWrites = 0;
  std::string mRegion;
  std::string mFailureDomain;
  // Processor share of the node's VM. Nodes with more take on shared work.
  double mCapacity = kDefaultCapacity;
  node_addresses mAddresses;
  // Witnesses of the lease. Empty: the lease is renewed by writes of this
  // record.
  std::vector<node_identity> mWitnesses;
  std::optional<announced_server> mServer;
  // The store's revision of this record, and when this process observed it; not
  // part of the stored value.
  std::int64_t mRevision = 0;
  instant mObservedAt = kNever;
  // Its failure domain is evacuated; see evacuation_list. Not part of the
  // stored value.
  bool mIsEvacuated = false;

  bool IsActive() const { return mState == node_state::kActive; }
  // Whether its backend server accepts new shards and unkeyed requests of the
  // service.
  bool AcceptsWork(std::string_view aService) const;
};

// Returns kInvalidArgument if the body can't be read or holds values that no
// node writes: other programs may write to the store too.
absl::StatusOr<node_record>
ParseNodeRecord(const stored_object& aObject);

// The stored form of the record, JSON.
std::string
Serialize(const node_record& aRecord);

std::string_view
ToText(node_state aState);

} // namespace plantaindale
