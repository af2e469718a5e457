// loopback_proxy forwards TCP connections to another local address and injects
// network faults into them. The soak test puts it between programs.
//
//   loopback_proxy proxy("127.0.0.1:21001", "127.0.0.1:20000");
//   proxy.SetFault(link_fault::kBlocked);
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
  kDelay,       // data is forwarded late
  kBlocked,     // connections stay open, nothing is forwarded
  kNoRequests,  // only responses are forwarded
  kNoResponses, // only requests are forwarded
  kReset        // open and new connections are reset
};

// Forwards on its own thread until it is destroyed. If it can't listen on the
// address, it reports no error, and connections to the address are refused.
class loopback_proxy
{
public:
  loopback_proxy(std::string aListen, std::string aTarget);
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;
  ~loopback_proxy();

  // Commands; may be called from any thread.
  void SetFault(link_fault aFault) { mFault = aFault; }

  // Queries.
  const std::string& Address() const { return mListen; }

private:
  struct link;

  void Run();
  void AcceptLoop(boost::asio::ip::tcp::acceptor& aAcceptor);
  // Forwards one direction of the link until either end closes.
  void Forward(const std::shared_ptr<link>& aLink, bool aIsRequest);

  std::string mListen;
  std::string mTarget;
  std::atomic<link_fault> mFault = link_fault::kNone;
  std::atomic<bool> mMustStop = false;
  boost::asio::io_context mContext;
  std::thread mThread;
};

} // namespace plantaindale::sessions
