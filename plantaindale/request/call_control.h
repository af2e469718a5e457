// call_control follows the calls that the local backend server makes for the
// requests that it runs, and refuses requests whose calls would find no room at
// the called service; see call_profile and call_admission.
//
//   head.is_call = calls.IsCall(attempt_id);          // where it enters
//   if (head.is_call) {
//     calls.OnCall(head);
//     ...
//     calls.OnCallEnd(head, result, is_expired);
//   }
//
//   if (auto refusal = calls.FindRefusal(aHead)) {...} // before it runs
//   const call_control::run run(calls, aHead);         // while it runs
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "generated/plantaindale_types.h"
#include "plantaindale/limits/call_admission.h"
#include "plantaindale/limits/call_profile.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

// Used by the traffic thread only.
class call_control
{
public:
  // A request that the local backend server runs.
  class run
  {
  public:
    run(call_control& aControl, const protocol::request_head& aHead);
    run(const run&) = delete;
    run& operator=(const run&) = delete;
    ~run();

  private:
    call_control& mControl;
    std::string mId; // empty: not followed
  };

  // `aCallsNameParents`: see http_header_names. If not, no request is taken for
  // a call, and none is refused.
  explicit call_control(bool aCallsNameParents)
    : mCallsNameParents(aCallsNameParents)
  {
  }

  // Commands.
  // The local backend server makes a call.
  void OnCall(const protocol::request_head& aHead);
  // The call has ended; `aIsExpired` if its deadline has passed.
  void OnCallEnd(const protocol::request_head& aHead,
                 const request_result& aResult,
                 bool aIsExpired);
  // None if the request may run as far as its calls are concerned.
  std::optional<request_result> FindRefusal(
    const protocol::request_head& aHead);

  // Queries.
  // Whether a request with this attempt id, which enters this node, is a call
  // of the local backend server.
  bool IsCall(std::string_view aAttemptId) const
  {
    return mCallsNameParents && mProfile.IsCall(aAttemptId);
  }
  std::string ToPrometheus() const;

private:
  void LogRefusal(const protocol::request_head& aHead,
                  const call_shortage& aShortage,
                  instant aNow);

  bool mCallsNameParents;
  call_profile mProfile;
  call_admission mAdmission;
  std::int64_t mCalls = 0;
  std::int64_t mRefusedCalls = 0;
  std::map<std::string, std::int64_t> mRefusedRuns; // by called service
  instant mLoggedAt = kNever;
  std::int64_t mRefusedSinceLog = 0;
};

} // namespace plantaindale
