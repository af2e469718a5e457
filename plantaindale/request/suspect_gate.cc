#include "plantaindale/request/suspect_gate.h"

#include <mutex>

namespace plantaindale {
namespace {

// Interval of looks at whether the request must still wait.
constexpr std::chrono::milliseconds kLookInterval{ 20 };

} // namespace

suspect_gate::permit::~permit()
{
  if (mGate != nullptr) {
    mGate->mIsTaken = false;
    mGate->mFreed.notify_one();
  }
}

suspect_gate::permit
suspect_gate::Enter(const std::function<bool()>& aMustWait)
{
  const instant wait_until = boot_clock::now() + kMaxWait;
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  while (mIsTaken && boot_clock::now() < wait_until && aMustWait()) {
    mFreed.wait_for(lock, kLookInterval);
  }
  if (mIsTaken || !aMustWait()) {
    return permit(nullptr);
  }
  mIsTaken = true;
  return permit(this);
}

} // namespace plantaindale
