#include "plantaindale/request/refused_attempts.h"

#include <algorithm>

namespace plantaindale {
namespace {

// The deadline of an attempt is later than that of a try by the time that the
// result needs on its way back.
constexpr duration kResultTimeLimit = std::chrono::seconds(1);

} // namespace

void
refused_attempts::Add(std::string_view aAttemptId,
                      instant aDeadline,
                      instant aNow)
{
  std::erase_if(mAttempts, [&](const refused_attempt& aAttempt) {
    return aAttempt.mRetriedUntil <= aNow;
  });
  mAttempts.push_back(
    { std::string(aAttemptId), aDeadline + kResultTimeLimit });
}

bool
refused_attempts::Contains(std::string_view aAttemptId) const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [&](const refused_attempt& aAttempt) {
      return aAttempt.mId == aAttemptId;
    });
}

} // namespace plantaindale
