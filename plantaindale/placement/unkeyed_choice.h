// Chooses the server for a request without a key, by the expected time to the
// answer: the run time there now, the wait behind what is outstanding there,
// and the cost of another failure domain.
//
// Answers these loads: servers of different speed; machines that work slows
// down on for moments; bursts; reports that are old, as each node sends only a
// few requests a second to each server. A report that is old doesn't make a
// server free: its last known number of outstanding requests counts on, and
// with it what was sent there since. Servers of unknown room are compared by
// the part of their slots in use alone.
//
//   std::vector<unkeyed_candidate> candidates = ...;
//   const std::size_t best = ChooseUnkeyed(candidates, boot_clock::now());
#pragma once

#include <cstddef>
#include <span>

#include "plantaindale/limits/server_room.h"

namespace plantaindale {

// What a node knows of the server of another node, or of its own.
struct unkeyed_candidate
{
  int mSlots = 1;
  int mInFlight = 0;            // requests of this node that run there
  int mReportedOutstanding = 0; // requests of all nodes, by the latest report
  int mSentSinceReport = 0;     // by this node
  instant mReportedAt = kNever;
  server_room mRoom; // by the latest report
  bool mIsRemoteDomain = false;
};

// Index of the candidate with the least expected time to the answer, the first
// of equals; 0 if there are none.
std::size_t
ChooseUnkeyed(std::span<const unkeyed_candidate> aCandidates, instant aNow);

} // namespace plantaindale
