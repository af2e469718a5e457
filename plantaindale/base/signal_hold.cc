#include "plantaindale/base/signal_hold.h"

#include <atomic>
#include <cstdint>
#include <utility>

namespace plantaindale {
namespace {

// A bit for each signal that a thread without the mask has got.
std::atomic<std::uint64_t> gRecorded = 0;
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

constexpr std::uint64_t
BitOf(int aSignal)
{
  return std::uint64_t{ 1 } << aSignal;
}

void
Record(int aSignal)
{
  gRecorded |= BitOf(aSignal);
}

} // namespace

signal_hold::signal_hold()
{
  gRecorded = 0;
  sigset_t held;
  sigemptyset(&held);
  for (const int signal : kSignals) {
    sigaddset(&held, signal);
  }
  pthread_sigmask(SIG_BLOCK, &held, &mFormerMask);
  struct sigaction record = {};
  record.sa_handler = Record;
  record.sa_flags = SA_RESTART;
  for (std::size_t i = 0; i < kSignals.size(); ++i) {
    sigaction(kSignals[i], &record, &mFormerActions[i]);
  }
}

void
signal_hold::Release()
{
  if (!std::exchange(mIsHeld, false)) {
    return;
  }
  for (std::size_t i = 0; i < kSignals.size(); ++i) {
    struct sigaction present = {};
    sigaction(kSignals[i], nullptr, &present);
    if (present.sa_handler == Record) {
      sigaction(kSignals[i], &mFormerActions[i], nullptr);
    }
  }
  pthread_sigmask(SIG_SETMASK, &mFormerMask, nullptr);
  const std::uint64_t recorded = gRecorded.exchange(0);
  for (const int signal : kSignals) {
    if ((recorded & BitOf(signal)) != 0) {
      std::raise(signal);
    }
  }
}

} // namespace plantaindale
