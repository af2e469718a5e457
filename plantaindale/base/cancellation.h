// cancellation tells the work for a request that nobody waits for it any more.
// Each wait of the request ends by an action on it; each step that can't be
// taken back, such as the first byte to a backend server, asks Check() before.
//
//   cancellation cancelled([&] { return HasBeenClosed(connection); });
//   const cancellation::action stop(cancelled, [&] { socket.cancel(); });
//   ... wait on the socket ...
//   if (cancelled.Check()) { ... end the request as not run ... }
#pragma once

#include <functional>
#include <optional>
#include <vector>

namespace plantaindale {

// Single-threaded.
class cancellation
{
public:
  // Looks whether the requester has gone, which no event may have told yet.
  // Must not block.
  using probe = std::function<bool()>;

  // Is run by each Cancel() during its lifetime; must not block. A cancellation
  // in the past doesn't run it.
  class action
  {
  public:
    action(cancellation& aCancellation, std::function<void()> aRun);
    action(const action&) = delete;
    action& operator=(const action&) = delete;
    ~action();

  private:
    friend class cancellation;

    cancellation& mCancellation;
    std::function<void()> mRun;
  };

  cancellation() = default;
  explicit cancellation(probe aProbe);
  // A part of the work: is cancelled with `aWhole`, which must outlive it, or
  // by itself.
  explicit cancellation(cancellation* aWhole);
  cancellation(const cancellation&) = delete;
  cancellation& operator=(const cancellation&) = delete;

  // Commands.
  void Cancel();
  // Cancels if the probe finds that the requester has gone. Returns
  // IsCancelled().
  bool Check();

  // Queries.
  bool IsCancelled() const { return mIsCancelled; }

private:
  bool mIsCancelled = false;
  probe mProbe;
  std::vector<action*> mActions;
  std::optional<action> mByWhole;
};

} // namespace plantaindale
