// verdict_archive keeps the refused requests in the metadata store, so that
// they stay refused after the loss of all nodes. Verdicts don't depend on it:
// nodes decide by the ends of servers that they tell each other.
//
//   verdict_archive archive(seed);
//   ledger.Merge(archive.TakeStored(view, unix_time), now);
//   archive.Step(ledger, { now, unix_time }, view, actions);
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/crashes/request_fingerprint.h"
#include "plantaindale/node/actions.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

class cluster_view;
class crash_ledger;

// The one object of the archive.
inline constexpr std::string_view kVerdictsKind = "crash-verdicts";
inline constexpr std::string_view kVerdictsName = "all";

// Since 1970.
using unix_time = std::chrono::milliseconds;

// Reads no clock and does no I/O; delays are drawn by a seeded generator. Not
// thread-safe.
class verdict_archive
{
public:
  // How long a node leaves a change of which it was told to the others.
  static constexpr duration kMinDelay = std::chrono::seconds(2);
  // Nodes draw the rest, so that few write at the same time.
  static constexpr duration kDelayPerNode = std::chrono::milliseconds(10);
  static constexpr duration kMinSpread = std::chrono::seconds(1);

  explicit verdict_archive(std::uint64_t aSeed);

  // Commands.
  // The records in the store, if they have changed since the last call. Times
  // are as of `aNow`, with the error of the clocks of both nodes.
  std::vector<protocol::crash_record> TakeStored(const cluster_view& aView,
                                                 unix_time aNow);
  // A verdict has changed by what was seen at this node, which writes it first.
  void OnLocalChange() { mIsLocal = true; }
  // Writes the refused requests if the store's differ.
  void Step(const crash_ledger& aLedger,
            instant aNow,
            unix_time aUnixNow,
            const cluster_view& aView,
            action_list& aActions);
  // Returns whether the write was one of this object's.
  bool OnWriteFinished(const write_finished& aEvent);

private:
  // Hashes of the ends of each request.
  using hash_map = std::map<request_fingerprint, std::uint64_t>;

  // Whether the store lacks a request that is refused here, or has one that was
  // cleared or forgotten. A hash may differ for a while between nodes, so only
  // the node that saw a change compares it.
  bool IsOutdated(const crash_ledger& aLedger) const;
  void Write(const crash_ledger& aLedger,
             instant aNow,
             unix_time aUnixNow,
             action_list& aActions);
  duration DrawDelay(const cluster_view& aView);

  std::mt19937_64 mRandom;
  std::int64_t mViewGeneration = -1;
  std::int64_t mRevision = 0; // of the object that was read or written last
  bool mIsDeleted = false;
  hash_map mStored;             // its content
  hash_map mWriting;            // that of the write under way
  std::int64_t mWriteToken = 0; // 0: none is under way
  std::int64_t mCheckedGeneration = -1;
  std::int64_t mCheckedHash = 0;
  std::int64_t mCheckedRevision = -1;
  bool mIsOutdated = false;
  bool mIsLocal = false;
  instant mWriteAt = instant::max();
};

} // namespace plantaindale
