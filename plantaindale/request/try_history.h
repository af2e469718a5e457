// try_history collects the failed tries of one request, so that the log tells
// on what evidence its caller is told that it was not run.
//
//   try_history tries(request.mIsIdempotent);
//   tries.Add(result);
//   tries.LogPromise(head, result);
#pragma once

#include <string>

namespace plantaindale {

namespace protocol {
class request_head;
}
struct request_result;

// Tries that are described; later ones are only counted.
inline constexpr int kMaxDescribedTries = 8;

class try_history
{
public:
  // The tries of an idempotent request are only counted: it may run again in
  // any case.
  explicit try_history(bool aIsIdempotent)
    : mIsDescribed(!aIsIdempotent)
  {
  }

  void Add(const request_result& aTry);

  // If the request ends as not run after a backend server got at least a part
  // of it, logs one line with all tries, unless they are only counted.
  void LogPromise(const protocol::request_head& aHead,
                  const request_result& aEnd) const;

  // Tries after which a backend server had at least a part of the request.
  int Sent() const { return mSent; }
  // `1: PEER STEP OUTCOME REASON; 2: ...`
  const std::string& Text() const { return mText; }

private:
  bool mIsDescribed;
  std::string mText;
  int mTries = 0;
  int mSent = 0;
};

} // namespace plantaindale
