#include "plantaindale/request/suspect_gate.h"

#include <mutex>

namespace plantaindale {

suspect_gate::permit::~permit()
{
  if (mGate != nullptr) {
    mGate->mIsTaken = false;
    mGate->mFreed.notify_one();
  }
}

std::optional<suspect_gate::permit>
suspect_gate::Enter(bool aIsSuspect, instant aDeadline)
{
  if (!aIsSuspect) {
    return permit(nullptr);
  }
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  const bool is_free = mFreed.wait_for(
    lock, aDeadline - boot_clock::now(), [this] { return !mIsTaken; });
  if (!is_free) {
    return std::nullopt;
  }
  mIsTaken = true;
  return permit(this);
}

} // namespace plantaindale
