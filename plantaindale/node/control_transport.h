// control_transport carries control messages between nodes: small ones as one
// UDP datagram, larger ones over a TCP connection opened for the message.
// Delivery is not guaranteed; senders must tolerate loss.
//
// Large messages are compressed. Few are sent at a time, and one at a time to a
// peer, so that they neither fill the links nor pile up in memory.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace plantaindale {

// Messages and bytes since the process started.
struct transport_counts
{
  std::int64_t mSentMessages = 0;
  std::int64_t mSentBytes = 0;
  std::int64_t mReceivedMessages = 0;
  std::int64_t mReceivedBytes = 0;
  std::int64_t mMalformed = 0;
  // Messages that were dropped because newer ones waited for the same peer.
  std::int64_t mSuperseded = 0;
  std::int64_t mWaitingBytes = 0; // in messages that wait for their turn
};

// Used by the control thread only.
class control_transport
{
public:
  using receiver = std::function<void(protocol::control_message)>;

  // `aReceive` must not block.
  control_transport(boost::asio::io_context& aContext, receiver aReceive);

  absl::Status Listen(const std::string& aAddress);
  // Sends without blocking.
  void Send(const std::string& aAddress,
            const protocol::control_message& aMessage);

  const transport_counts& Counts() const { return mCounts; }

private:
  void ReceiveDatagrams();
  void AcceptLoop();
  void ReceiveStream(tcp_socket aSocket);
  // Returns the message in its packed form if it is large.
  std::string Pack(std::string aBytes);
  void QueueStream(const std::string& aAddress, std::string aBytes);
  void StartStreams();
  void SendStream(const std::string& aAddress, const std::string& aBytes);
  void Deliver(std::string_view aBytes, const std::string& aPeer);

  boost::asio::io_context& mContext;
  receiver mReceive;
  boost::asio::ip::udp::socket mDatagrams;
  boost::asio::ip::tcp::acceptor mAcceptor;
  transport_counts mCounts;
  // The last message that was packed, since the same one usually goes to
  // several peers.
  std::string mUnpacked;
  std::string mPacked;
  // Messages that wait to be sent, by address, oldest first.
  std::map<std::string, std::deque<std::string>> mWaiting;
  std::set<std::string> mSending; // addresses with a stream under way
};

} // namespace plantaindale
