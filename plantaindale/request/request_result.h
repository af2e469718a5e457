// request_result is the outcome of a request, used from the backend client
// through the peer protocol to the caller.
#pragma once

#include <string>
#include <string_view>

#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/limits/server_room.h"

namespace plantaindale {

using protocol::outcome_kind;

// Steps that decide about retries or say something of the room.
// Rejected by admission control.
inline constexpr std::string_view kAdmitStep = "admit";
// Not run because its requester has left.
inline constexpr std::string_view kWithdrawnStep = "withdrawn";
// Not run because the calls of its run would find no room; see call_control.
inline constexpr std::string_view kAdmitCallsStep = "admit_calls";
// The shard is being handed over, or the server or its node is shutting down.
inline constexpr std::string_view kHandOverStep = "hand_over";
// All backend servers of the service are in evacuated failure domains.
inline constexpr std::string_view kEvacuatedStep = "evacuated";
// Refused by the idempotency_window.
inline constexpr std::string_view kIdempotencyStep = "idempotency";
// Refused because backend servers have ended under it; see crash_verdicts.
inline constexpr std::string_view kCrashesServersStep = "crashes_servers";
// Nothing listens at the backend server's address.
inline constexpr std::string_view kNoServerStep = "no_server";
// The backend server replied that it has not run the request.
inline constexpr std::string_view kServerRefusedStep = "server_refused";
// The backend server's process ended while it ran the request.
inline constexpr std::string_view kServerEndedStep = "server_ended";

struct request_result
{
  // answered: the complete response was forwarded.
  // not_run: provably not run by a backend server.
  // unknown: it may have been run; no response was forwarded.
  // broken: only a part of the response was forwarded.
  outcome_kind::type mKind = outcome_kind::not_run;
  std::string mStep;
  std::string mPeer;
  std::string mReason;
  int mOutstanding = -1; // at the node that handled it; -1: not reported
  // A backend server received at least a part of the request, whether it ran or
  // refused it.
  bool mWasSent = false;
  // The connection to the backend server ended before the complete response.
  // Known only at the server's node.
  bool mHasLostServer = false;
  // Status of the backend server's response; 0: none. Known only at the
  // server's node.
  unsigned mStatus = 0;
  // For kCrashesServersStep and kEvacuatedStep: the time until the request may
  // run.
  // Of the backend server at the node that was to handle it; 0: not known.
  // Known only where the request entered.
  int mSlots = 0;
  // For kCrashesServersStep: the time until the request may run.
  duration mRefusedFor{ 0 };
  // Of the backend server, by the node that handled the request.
  server_room mRoom{};
  // For a request that was turned away for lack of room: the time until room is
  // expected; 0: not known.
  duration mRoomIn{ 0 };
  // After this time the caller should return; 0: not known. Known only at the
  // node that the caller talks to.
  duration mReturnIn{ 0 };

  bool IsAnswered() const { return mKind == outcome_kind::answered; }
};

inline std::string_view
ToText(outcome_kind::type aKind)
{
  switch (aKind) {
    case outcome_kind::answered:
      return "answered";
    case outcome_kind::not_run:
      return "not_run";
    case outcome_kind::unknown:
      return "unknown";
    case outcome_kind::broken:
      return "broken";
  }
  return "?";
}

inline request_result
Answered()
{
  request_result result;
  result.mKind = outcome_kind::answered;
  result.mWasSent = true;
  return result;
}

inline request_result
MakeFailure(outcome_kind::type aKind,
            std::string_view aStep,
            std::string_view aPeer,
            std::string_view aReason)
{
  request_result result;
  result.mKind = aKind;
  result.mStep = aStep;
  result.mPeer = aPeer;
  result.mReason = aReason;
  result.mWasSent = aKind != outcome_kind::not_run;
  return result;
}

// Before a request was sent to a backend server.
inline request_result
Withdrawn()
{
  return MakeFailure(outcome_kind::not_run,
                     kWithdrawnStep,
                     "",
                     "the caller closed its connection, or the attempt was "
                     "given up");
}

} // namespace plantaindale
