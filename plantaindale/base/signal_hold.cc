#include "plantaindale/base/signal_hold.h"

#include <utility>

namespace plantaindale {

signal_hold::signal_hold()
{
  sigset_t held;
  sigemptyset(&held);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&held, signal);
  }
  pthread_sigmask(SIG_BLOCK, &held, &mFormerMask);
}

void
signal_hold::Release()
{
  if (std::exchange(mIsHeld, false)) {
    pthread_sigmask(SIG_SETMASK, &mFormerMask, nullptr);
  }
}

} // namespace plantaindale
