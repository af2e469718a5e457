#include "plantaindale/base/cancellation.h"

#include <algorithm>
#include <utility>

namespace plantaindale {

cancellation::action::action(cancellation& aCancellation,
                             std::function<void()> aRun)
  : mCancellation(aCancellation)
  , mRun(std::move(aRun))
{
  mCancellation.mActions.push_back(this);
}

cancellation::action::~action()
{
  std::erase(mCancellation.mActions, this);
}

cancellation::cancellation(probe aProbe)
  : mProbe(std::move(aProbe))
{
}

cancellation::cancellation(cancellation* aWhole)
  : mIsCancelled(aWhole->IsCancelled())
  , mProbe([aWhole] { return aWhole->Check(); })
{
  mByWhole.emplace(*aWhole, [this] { Cancel(); });
}

void
cancellation::Cancel()
{
  mIsCancelled = true;
  for (action* one : mActions) {
    one->mRun();
  }
}

bool
cancellation::Check()
{
  const bool has_gone = !mIsCancelled && mProbe && mProbe();
  // The probe of a part cancels it together with the whole.
  if (has_gone && !mIsCancelled) {
    Cancel();
  }
  return mIsCancelled;
}

} // namespace plantaindale
