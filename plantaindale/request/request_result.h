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

  bool IsAnswered() const { return mKind == outcome_kind::answered; }
};

inline request_result
Answered()
{
  return { outcome_kind::answered, "", "", "", -1 };
}

inline request_result
Ended(outcome_kind::type aKind,
      std::string_view aStep,
      std::string_view aPeer,
      std::string_view aReason)
{
  return {
    aKind, std::string(aStep), std::string(aPeer), std::string(aReason), -1
  };
}

} // namespace plantaindale
