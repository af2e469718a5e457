// http_header_names holds the names of the header fields that callers, nodes
// and backend servers exchange besides standard HTTP. The defaults are the
// router's own interface; a deployment with other conventions sets its own
// names.
//
//   http_header_names header_names;
//   header_names.mDeadlineRemaining = "X-Time-Left-Ms";
#pragma once

#include <string>

namespace plantaindale {

// A field with an empty name is neither read nor set.
struct http_header_names
{
  // From callers.
  // Milliseconds that the caller waits for the response.
  std::string mDeadlineRemaining = "Plantaindale-Deadline-Ms";
  // Identifies one attempt of a caller; servers echo it in their responses.
  std::string mAttemptId;
  // Attempts with the same value are one request; see idempotency_window.h.
  std::string mIdempotencyKey = "Idempotency-Key";
  // Whether backend servers give their calls the attempt id of the request that
  // they run, a dot, and a suffix. Otherwise calls aren't recognized.
  bool mCallsNameParents = false;

  // To callers: `not-run` or `unknown`, for a request without a response.
  std::string mOutcome = "Plantaindale-Outcome";

  // To backend servers.
  // Milliseconds until the request's deadline.
  std::string mServerDeadlineRemaining;
  // The service on whose node the request entered the router.
  std::string mCallerService;
  // The instance that the request is meant for; another one must refuse it with
  // 421 Misdirected Request.
  std::string mExpectedInstance;
  // The shard, the epoch of its owner's grant, and the time until which the
  // request may run, in microseconds of CLOCK_BOOTTIME, which both processes
  // share.
  std::string mShard = "Plantaindale-Shard";
  std::string mEpoch = "Plantaindale-Grant-Epoch";
  std::string mRunUntil = "Plantaindale-Run-Until-Us";

  // From backend servers.
  // Present if the server has not run the request and never will.
  std::string mNotExecuted;
  // Present in every response that a server produced by running a request.
  std::string mSignature;
  // Requests per second that the server takes from all nodes together, as long
  // as its responses say so.
  std::string mRateLimit = "Plantaindale-Rate-Limit";
  // Requests that the server runs, requests that wait in it, its slots, and how
  // long work takes there now in percent of the usual time; see server_load.h.
  std::string mServerLoad;
  // `1` in every response of a server that leaves.
  std::string mLeaving = "Plantaindale-Leaving";
};

} // namespace plantaindale
