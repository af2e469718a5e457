// http_dialect names the header fields by which callers, nodes and backend
// servers tell each other what goes beyond HTTP. The defaults are the
// project's own interface; an installation with other names brings its own.
//
//   http_dialect dialect;
//   dialect.mDeadlineLeft = "X-Time-Left-Ms";
#pragma once

#include <string>

namespace plantaindale {

// An empty name: nothing of the kind is said.
struct http_header_names
{
  // From callers.
  // Milliseconds that the caller will wait.
  std::string mDeadlineRemaining = "Plantaindale-Deadline-Ms";
  // Names one attempt of a caller; servers echo it in their answers.
  std::string mAttemptId;

  // To callers: `not-run` or `unknown`, for a request without an answer.
  std::string mOutcome = "Plantaindale-Outcome";

  // To backend servers.
  // Milliseconds that are left for the request.
  std::string mServerDeadlineRemaining;
  // The service beside which the request began.
  std::string mCallerService;
  // The server's own name; another server refuses the request with 421.
  std::string mExpectedInstance;
  // The shard, the epoch of its owner's grant, and the end of the time in
  // which the request may run, in microseconds of the clock that both
  // processes share (CLOCK_BOOTTIME).
  std::string mShard = "Plantaindale-Shard";
  std::string mEpoch = "Plantaindale-Grant-Epoch";
  std::string mRunUntil = "Plantaindale-Run-Until-Us";

  // From backend servers.
  // Present: the server has not run the request and never will.
  std::string mNotExecuted;
  // Present in every answer that a server made by running a request.
  std::string mSignature;
};

} // namespace plantaindale
