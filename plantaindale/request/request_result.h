// How a request ended, in the one vocabulary that is used from the backend
// server to the caller.
#pragma once

#include <string>
#include <string_view>

#include "generated/plantaindale_types.h"

namespace plantaindale {

using protocol::outcome_kind;

// Steps that decide over what follows: the limits said no; the shard is just
// being handed over; the window of Idempotency-Keys said no.
inline constexpr std::string_view kAdmitStep = "admit";
inline constexpr std::string_view kHandOverStep = "hand_over";
inline constexpr std::string_view kIdempotencyStep = "idempotency";
// Nothing listens at the backend server's address.
inline constexpr std::string_view kNoServerStep = "no_server";
// The backend server said that it has not run the request.
inline constexpr std::string_view kServerRefusedStep = "server_refused";

struct request_result
{
  // answered: the whole answer was passed on.
  // not_run: proved never handed to a backend server.
  // unknown: handed over, and no answer was passed on.
  // broken: a part of an answer was passed on.
  outcome_kind::type mKind = outcome_kind::not_run;
  std::string mStep;
  std::string mPeer;
  std::string mReason;
  int mOutstanding = -1; // at the node that ran it; -1: not told
  // A backend server got at least a part of the request, whether it ran it or
  // refused it.
  bool mWasSent = false;

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

} // namespace plantaindale
