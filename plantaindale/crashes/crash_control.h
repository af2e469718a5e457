// crash_control is the part of the control plane that keeps requests from
// ending server after server: it applies events to the ledger, tells other
// nodes of changes, and logs them.
//
//   control.OnEvent(server_ended{ end }, now, view, actions);
//   routing_state.PublishCrashVerdicts(control.Ledger().Verdicts());
#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <string>

#include "plantaindale/crashes/crash_gossip.h"
#include "plantaindale/crashes/crash_ledger.h"
#include "plantaindale/crashes/verdict_archive.h"
#include "plantaindale/node/events.h"

namespace plantaindale {

template<class event_type>
concept crash_event = std::same_as<event_type, server_ended> ||
  std::same_as<event_type, suspect_completed> ||
  std::same_as<event_type, refusal_lifted>;

// Since the process started.
struct crash_counts
{
  std::int64_t mServerEnds = 0; // of the local backend server, with requests
  std::int64_t mRefusals = 0;   // as learned here, with their renewals
};

// Reads no clock and does no I/O. Not thread-safe.
class crash_control
{
public:
  // The name and failure domain are those of this node.
  crash_control(std::string aName,
                std::string aFailureDomain,
                std::uint64_t aSeed);

  // Commands.
  void OnEvent(const server_ended& aEvent,
               instant aNow,
               const cluster_view& aView,
               action_list& aActions);
  void OnEvent(const suspect_completed& aEvent,
               instant aNow,
               const cluster_view& aView,
               action_list& aActions);
  void OnEvent(const refusal_lifted& aEvent,
               instant aNow,
               const cluster_view& aView,
               action_list& aActions);
  // Merges records of another node, and forwards those that are news.
  void OnRecords(std::span<const protocol::crash_record> aRecords,
                 instant aNow,
                 const cluster_view& aView,
                 action_list& aActions);
  // Sends the local records to a peer that doesn't know the same. Returns
  // whether the peer must be sent a digest, so that it sends its own.
  bool OnDigest(const protocol::digest& aDigest,
                instant aNow,
                action_list& aActions);
  // Also reads and writes the archive.
  void Step(instant aNow,
            unix_time aUnixNow,
            const cluster_view& aView,
            action_list& aActions);
  // Returns whether the write was one of the archive's.
  bool OnWriteFinished(const write_finished& aEvent)
  {
    return mArchive.OnWriteFinished(aEvent);
  }

  // Queries.
  const crash_ledger& Ledger() const { return mLedger; }
  const crash_counts& Counts() const { return mCounts; }

private:
  // Tells other nodes, and the archive, of what was seen to change here.
  void Spread(const crash_ledger::fingerprint_list& aChanged,
              instant aNow,
              const cluster_view& aView,
              action_list& aActions);
  // Logs the requests that are refused from now on, and those that are no
  // longer, with the reason.
  void LogVerdicts(instant aNow,
                   std::string_view aReason,
                   action_list& aActions);
  void LogVerdict(const request_fingerprint& aFingerprint,
                  instant aNow,
                  action_list& aActions);

  std::string mName;
  crash_ledger mLedger;
  crash_gossip mGossip;
  verdict_archive mArchive;
  crash_counts mCounts;
  std::int64_t mLoggedGeneration = 0;
  crash_verdicts mLogged;
};

} // namespace plantaindale
