// loopback_proxy passes connections on to another address of this machine, and
// harms them as it is told to: for the soak, which faults programs from
// outside.
//
//   loopback_proxy proxy("127.0.0.1:21001", "127.0.0.1:20000");
//   proxy.SetHarm(link_harm::kSilent);
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "plantaindale/net/tcp_stream.h"

namespace plantaindale::sessions {

enum class link_fault
{
  kNone,
  kDelay,       // each piece comes late
  kBlocked,     // connections stay open, and nothing passes
  kNoRequests,  // only answers pass
  kNoResponses, // only requests pass
  kReset        // connections are reset, old and new
};

// Runs a thread of its own until it is destroyed.
class loopback_proxy
{
public:
  loopback_proxy(std::string aListen, std::string aTarget);
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;
  ~loopback_proxy();

  // Commands; from any thread.
  void SetFault(link_fault aFault) { mFault = aFault; }

  // Queries.
  const std::string& Address() const { return mListen; }

private:
  struct link;

  void Run();
  void AcceptLoop(boost::asio::ip::tcp::acceptor& aAcceptor);
  // Passes on what comes from one end until an end has gone.
  void Forward(const std::shared_ptr<link>& aLink, bool aIsRequest);

  std::string mListen;
  std::string mTarget;
  std::atomic<link_fault> mFault = link_fault::kNone;
  std::atomic<bool> mMustStop = false;
  boost::asio::io_context mContext;
  std::thread mThread;
};

} // namespace plantaindale::sessions
