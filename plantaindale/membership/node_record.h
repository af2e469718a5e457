// node_record is what the platform keeps of one node: its present incarnation,
// whether that may still act, its witnesses, and the backend server beside it.
// It is written by conditional updates only.
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
  kFenced,  // may not renew; its last lease may still run
  kRetired, // its last lease has ended for certain
  kLeft     // ended by itself, with nothing in flight
};

// Where a node listens, each IP:PORT.
struct node_addresses
{
  std::string mCaller;
  std::string mPeer;
  std::string mControl;
  std::string mAdmin;

  bool operator==(const node_addresses&) const = default;
};

// What a backend server said of itself to the node beside it.
struct announced_server
{
  std::string mService;
  std::string mAddress; // IP:PORT
  int mSlots = 0;       // requests it runs at a time
  int mConnections = 0; // connections it takes; 0: not told
  bool mChecksFences = false;
  // Its own name for this start of it; empty: it has none.
  std::string mInstance = {};
  std::int64_t mStartedAt = 0; // Unix ms; tells apart two starts of one name
  // It runs a request only while it holds the key by a grant of its node's.
  bool mKeepsGrants = false;
  bool mIsLeaving = false; // it has said that it will end

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
  // Every incarnation up to this one can never act again.
  std::int64_t mRetiredThrough = 0;
  // Every incarnation up to this one is gone by the operator's word.
  std::int64_t mConfirmedLostThrough = 0;
  // The process that is to have the name next: the one that found a former
  // process's record and fenced it. Empty once it has joined.
  std::string mSuccessor;
  // Rises with each renewal of a lease that the platform itself vouches for.
  std::int64_t mRenewals = 0;
  std::string mRegion;
  std::string mFailureDomain;
  node_addresses mAddresses;
  // Empty: the lease is renewed in the platform.
  std::vector<node_identity> mWitnesses;
  std::optional<announced_server> mServer;
  // The store's revision of this record, and when this process learnt of it;
  // not part of the value.
  std::int64_t mRevision = 0;
  instant mObservedAt = kNever;

  bool IsActive() const { return mState == node_state::kActive; }
  // Whether new shards and unkeyed requests may be sent to its server.
  bool AcceptsWork(std::string_view aService) const;
};

absl::StatusOr<node_record>
ParseNodeRecord(const stored_object& aObject);

// The record as the platform keeps it, JSON.
std::string
Serialize(const node_record& aRecord);

std::string_view
ToText(node_state aState);

} // namespace plantaindale
